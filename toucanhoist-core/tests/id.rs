//! Names: those of the product's own documents, and those that a platform hands over.

use {
    rstest::rstest,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    toucanhoist_core::id,
};

#[serde_as]
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct Handed(#[serde_as(as = "id::Text")] id::Account);

#[rstest]
#[case::plain("farm-1_a.b", true, true, true)]
#[case::longest(&"n".repeat(63), true, true, true)]
#[case::too_long_for_a_document(&"n".repeat(64), false, true, true)]
#[case::capital_letter("Farm", false, true, true)]
#[case::other_script("Żółw 山", false, true, true)]
#[case::tab("a\tb", false, true, true)]
#[case::line_break("a\nb", false, true, false)]
#[case::unicode_control("a\u{85}b", false, true, true)]
#[case::blank_at_an_end("farm ", false, true, false)]
#[case::longest_text(&"n".repeat(16 * 1_024), false, true, true)]
#[case::longer(&"ż".repeat(8 * 1_024 + 1), false, false, false)]
#[case::empty("", false, false, false)]
fn only_documents_limit_the_characters_of_names(
    #[case] text: &str,
    #[case] is_name: bool,
    #[case] is_text: bool,
    #[case] fits_header: bool,
) {
    assert_eq!(text.parse::<id::Account>().is_ok(), is_name);
    let json = serde_json::to_string(text).expect("JSON");
    assert_eq!(serde_json::from_str::<id::Account>(&json).is_ok(), is_name);
    let handed = id::Account::from_text(text);
    assert_eq!(handed.is_ok(), is_text);
    assert_eq!(serde_json::from_str::<Handed>(&json).is_ok(), is_text);
    let Ok(name) = handed else { return };
    assert_eq!(name.fits_header(), fits_header);
    assert_eq!(serde_json::to_string(&Handed(name)).expect("JSON"), json);
}
