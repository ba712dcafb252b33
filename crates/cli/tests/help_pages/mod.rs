//! Collects the help texts of a program and all its subcommands. The help tests
//! of all programs include this module.

use std::process::Command;

/// Returns all help texts, each followed by those of its subcommands. Subcommands
/// are found in the help texts themselves, so that a new one cannot be missed.
pub fn all_help_texts(program: &str) -> String {
    let mut texts = String::new();
    collect_help_texts(program, &mut Vec::new(), &mut texts);
    texts
}

fn collect_help_texts(program: &str, path: &mut Vec<String>, texts: &mut String) {
    let help = run_help(program, path);
    texts.push_str(&format!("==== {} --help\n{help}\n", path.join(" ")));
    for name in parse_subcommands(&help) {
        path.push(name);
        collect_help_texts(program, path, texts);
        path.pop();
    }
}

fn run_help(program: &str, path: &[String]) -> String {
    let output =
        Command::new(program).args(path).arg("--help").output().expect("cannot start the program");
    assert!(output.status.success(), "{path:?}: {output:?}");
    assert!(output.stderr.is_empty(), "{path:?}: {output:?}");
    let text = String::from_utf8(output.stdout).expect("help texts are valid Unicode");
    text.replace(program, "PROGRAM")
}

/// Parses the names below `Commands:`. Continuation lines of a description are
/// indented further.
fn parse_subcommands(help: &str) -> Vec<String> {
    let list = help.lines().skip_while(|line| line.trim() != "Commands:").skip(1);
    list.take_while(|line| !line.trim().is_empty())
        .filter_map(|line| line.strip_prefix("  "))
        .filter(|line| !line.starts_with(' '))
        .filter_map(|line| line.split_whitespace().next())
        .map(str::to_owned)
        .collect()
}
