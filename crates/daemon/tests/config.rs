//! Validation of the daemon's settings, and its error messages.

use tarragonhill_daemon::config::{self, ConfigError, SETTING_NAMES, Settings};

const ENTRY: [&str; 13] = [
    "entry",
    "--name",
    "e",
    "--zone",
    "z",
    "--listen",
    "127.0.0.1:0",
    "--admin",
    "127.0.0.1:0",
    "--table",
    "127.0.0.1:1",
    "--peer",
    "127.0.0.1:0",
];

fn parse(extra: &[&str]) -> Result<Settings, ConfigError> {
    let arguments: Vec<&str> = ENTRY.iter().chain(extra).copied().collect();
    let options = config::options().run_inner(arguments.as_slice()).expect("the flags are known");
    Settings::try_from(options)
}

fn problem(extra: &[&str]) -> String {
    parse(extra).expect_err("refused").to_string()
}

#[test]
fn defaults_are_valid() {
    assert!(matches!(parse(&[]), Ok(Settings::Entry(_))));
}

#[test]
fn error_for_invalid_value_names_the_setting() {
    for (flag, value) in [
        ("--hosts", "nowhere"),
        ("--first-token-ms", "0"),
        ("--patience-ms", "100"),
        ("--max-body", "1"),
        ("--head-ms", "1"),
        ("--max-connections", "0"),
        ("--policy", "best"),
        ("--operator-token", "short"),
        ("--poll-ms", "1"),
        ("--log", "loud"),
    ] {
        let problem = problem(&[flag, value]);
        assert!(problem.starts_with(flag), "{problem}");
    }
}

/// A host whose memory is not known has no bound on what the gateway holds.
#[test]
fn memory_of_a_gateway_may_be_unknown() {
    let parse = |memory: &str| {
        let flag = format!("--memory-mb={memory}");
        let mut arguments: Vec<&str> = ENTRY.to_vec();
        arguments[0] = "gateway";
        arguments.push(&flag);
        Settings::try_from(config::options().run_inner(arguments.as_slice()).expect("the flags are known"))
    };
    for (text, memory) in [("", None), ("0", None), ("88", Some(88_000_000)), ("0.5", Some(500_000))] {
        let settings = parse(text).expect("valid");
        assert!(matches!(settings, Settings::Gateway(gateway) if gateway.memory == memory), "{text:?}");
    }
    for text in ["much", "-1", "NaN", "inf"] {
        let problem = parse(text).expect_err("refused").to_string();
        assert!(problem.starts_with("--memory-mb"), "{problem}");
    }
}

#[test]
fn unknown_flag_is_refused() {
    let arguments: Vec<&str> = ENTRY.iter().copied().chain(["--colour", "red"]).collect();
    assert!(config::options().run_inner(arguments.as_slice()).is_err());
}

/// Otherwise the daemon would silently run with the default of the misspelled setting.
#[test]
fn misspelled_environment_variable_is_refused_by_name() {
    let error =
        config::check_environment(["TARRAGONHILL_POLICI".to_owned()].into_iter()).expect_err("refused");
    assert!(error.to_string().contains("TARRAGONHILL_POLICI"));
    let known =
        SETTING_NAMES.iter().map(|name| format!("TARRAGONHILL_{}", name.to_uppercase().replace('-', "_")));
    assert_eq!(config::check_environment(known), Ok(()));
}

/// The settings reference lists exactly the existing settings, with their actual defaults.
#[test]
fn reference_page_matches_the_code() {
    let page = include_str!("../../../docs/settings.md");
    let listed: Vec<&str> =
        page.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next()).collect();
    assert_eq!(
        listed.iter().copied().collect::<std::collections::BTreeSet<_>>(),
        SETTING_NAMES.into_iter().collect()
    );
    let entry = config::options().run_inner(&["entry", "--help"]).expect_err("help").unwrap_stdout();
    let gateway = config::options().run_inner(&["gateway", "--help"]).expect_err("help").unwrap_stdout();
    let help = entry + &gateway;
    for line in page.lines().filter(|line| line.starts_with("| `")) {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        if !cells[2].is_empty() {
            let (_, rest) =
                help.rsplit_once(&format!("--{}=", cells[1].trim_matches('`'))).expect("in the help");
            let default = rest.split("[default: ").nth(1).and_then(|rest| rest.split(']').next());
            assert_eq!(default, Some(cells[2]), "{}", cells[1]);
        }
    }
}
