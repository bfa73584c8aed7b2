//! What clients can make a host hold fits into its machine.

use {rstest::rstest, toucanhoist_core::machine::Machine};

/// Largest body that the users' pages allow.
const BODY_BYTES_MAX: usize = 64 * 1_024 * 1_024;
/// Descriptors that a host needs for files, the store, and listeners.
const DESCRIPTORS_LEFT: usize = 200;
/// Part of the memory that is left for the process itself, its log, and the kernel's buffers.
const LEFT_FRACTION: usize = 5;
/// Memory of one connection in the process.
const CONNECTION_BYTES: usize = 32 * 1_024;

/// The smallest machine that the users have.
const SMALLEST: Machine = Machine { memory: 160_000_000, descriptors: 4_100 };

#[rstest]
#[case::usual(Machine::default())]
#[case::smallest(SMALLEST)]
#[case::little_memory(Machine { memory: 64_000_000, descriptors: 4_100 })]
#[case::few_descriptors(Machine { memory: 260_000_000, descriptors: 512 })]
#[case::large(Machine { memory: 8_000_000_000, descriptors: 100_000 })]
fn the_sum_of_all_limits_fits_into_the_machine(#[case] machine: Machine) {
    let allotment = machine.allotment();
    let own = allotment.connections() * CONNECTION_BYTES + allotment.held;
    assert!(own <= machine.memory - machine.memory / LEFT_FRACTION, "{allotment:?}");
    assert!(allotment.bytes() <= machine.memory, "{} bytes: {allotment:?}", allotment.bytes());
    assert!(allotment.connections() < machine.descriptors, "{allotment:?}");
}

#[rstest]
#[case::usual(Machine::default())]
#[case::smallest(SMALLEST)]
fn a_body_of_the_largest_size_that_the_pages_allow_is_held(#[case] machine: Machine) {
    let allotment = machine.allotment();
    assert!(allotment.held > BODY_BYTES_MAX, "{allotment:?}");
}

/// The most that ordinary callers and exchanges with targets were seen to have open at one host of a grown site.
#[test]
fn the_smallest_machine_has_room_for_ordinary_callers() {
    let allotment = SMALLEST.allotment();
    assert!(allotment.callers > 950 && allotment.targets > 200, "{allotment:?}");
}

#[test]
fn the_usual_machine_serves_what_the_pages_allow() {
    let allotment = Machine::default().allotment();
    let open = allotment.connections();
    assert!(open + DESCRIPTORS_LEFT <= Machine::default().descriptors, "{open}");
    // The most that ordinary callers were seen to open at one host at the same time.
    assert!(allotment.callers > 1_876, "{allotment:?}");
}

#[test]
fn each_use_gets_something_on_any_machine() {
    let allotment = Machine { memory: 0, descriptors: 0 }.allotment();
    assert_eq!((allotment.callers, allotment.checks, allotment.tunnels), (1, 1, 1));
}
