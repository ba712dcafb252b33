//! Guards against unnoticed changes of the commands, options and help texts of
//! `hawthornstack-lab`.

#[path = "../../cli/tests/help_pages/mod.rs"]
mod help_pages;

#[test]
fn help_texts() {
    let texts = help_pages::all_help_texts(env!("CARGO_BIN_EXE_hawthornstack-lab"));
    insta::assert_snapshot!("all", texts);
}
