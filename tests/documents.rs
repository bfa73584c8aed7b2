//! docs/CALLERS.md and the code agree.

use toucanhoist_core::refusal::Code;

#[test]
fn the_callers_page_lists_every_refusal() {
    let page = include_str!("../docs/CALLERS.md");
    for code in Code::ALL {
        let row = format!("| {code} | {} | {} | ", code.status(), code.title());
        assert!(page.contains(&row), "docs/CALLERS.md lacks {row}");
    }
}
