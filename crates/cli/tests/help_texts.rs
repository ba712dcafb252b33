//! Guards against a command, an option or a help text of `hawthornstack` that
//! changes or goes unnoticed.

mod help_pages;

#[test]
fn help_texts() {
    let texts = help_pages::all_help_texts(env!("CARGO_BIN_EXE_hawthornstack"));
    insta::assert_snapshot!("all", texts);
}
