//! Guards against commands, options and help texts of `hawthornstack` that are
//! changed, added or removed by accident.

mod help_pages;

#[test]
fn help_texts() {
    let texts = help_pages::all_help_texts(env!("CARGO_BIN_EXE_hawthornstack"));
    insta::assert_snapshot!("all", texts);
}
