use {rstest::rstest, toucanhoist_core::steering::advertised_hosts};

/// Hosts by capacity, and how many of them are advertised.
#[rstest]
#[case::none(&[], 0)]
#[case::few(&[10, 20, 50], 3)]
#[case::without_figures(&[0; 30], 30)]
#[case::equal(&[20; 30], 15)]
#[case::large_and_small(&[50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10], 8)]
#[case::mostly_small(&[50, 50, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20], 9)]
fn the_largest_machines_are_advertised(#[case] capacities: &[u32], #[case] expected: usize) {
    let advertised = advertised_hosts(capacities.iter().copied().zip(0..).collect());
    assert_eq!(advertised.len(), expected);
    let least = advertised.iter().map(|host: &usize| capacities[*host]).min();
    let others = (0..capacities.len()).filter(|host| !advertised.contains(host));
    let most = others.map(|host| capacities[host]).max();
    assert!(most.unwrap_or_default() <= least.unwrap_or_default());
}

#[test]
fn a_host_that_is_gone_is_replaced_by_the_next() {
    let advertised_without = |gone: &[u32]| {
        let left = (0..30).filter(|host| !gone.contains(host));
        advertised_hosts(left.map(|host| (20, host)).collect::<Vec<(u32, u32)>>())
    };
    assert_eq!(advertised_without(&[]), (0..15).collect::<Vec<_>>());
    let expected: Vec<u32> = (0..16).filter(|host| ![3, 4].contains(host)).collect();
    assert_eq!(advertised_without(&[3, 4]), expected);
}
