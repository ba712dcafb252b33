//! Guards against an unnoticed change of the commands, options and help texts of
//! `hawthornstackd`.

#[path = "../../cli/tests/help_pages/mod.rs"]
mod help_pages;

#[test]
fn help_texts() {
    let texts = help_pages::all_help_texts(env!("CARGO_BIN_EXE_hawthornstackd"));
    insta::assert_snapshot!("all", texts);
}
