//! Help texts of a program and of all its subcommands, for the help tests of
//! every program.

use std::process::Command;

/// The help texts in order. Subcommands are found in the texts themselves, so
/// that a new one cannot be left out.
pub fn all_help_texts(program: &str) -> String {
    let mut texts = String::new();
    collect(program, &mut Vec::new(), &mut texts);
    texts
}

fn collect(program: &str, path: &mut Vec<String>, texts: &mut String) {
    let help = help_text(program, path);
    texts.push_str(&format!("==== {} --help\n{help}\n", path.join(" ")));
    for name in subcommands(&help) {
        path.push(name);
        collect(program, path, texts);
        path.pop();
    }
}

fn help_text(program: &str, path: &[String]) -> String {
    let output = Command::new(program).args(path).arg("--help").output().expect("the program");
    assert!(output.status.success(), "{path:?}: {output:?}");
    assert!(output.stderr.is_empty(), "{path:?}: {output:?}");
    let text = String::from_utf8(output.stdout).expect("text");
    text.replace(program, "PROGRAM")
}

/// Names below `Commands:`; lines that go on with a description are indented
/// further.
fn subcommands(help: &str) -> Vec<String> {
    let list = help.lines().skip_while(|line| line.trim() != "Commands:").skip(1);
    list.take_while(|line| !line.trim().is_empty())
        .filter_map(|line| line.strip_prefix("  "))
        .filter(|line| !line.starts_with(' '))
        .filter_map(|line| line.split_whitespace().next())
        .map(str::to_owned)
        .collect()
}
