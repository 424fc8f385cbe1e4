//! Tests of client accounts: keys, shares and costs.

use apricotrun::prelude::*;
use apricotrun::state::accounts::CostUnit;

fn account(name: &str, rate: f64) -> ClientAccount {
    ClientAccount {
        allotment: (rate > 0.0).then_some(TokenAllotment { burst: rate, rate: TokenRate(rate) }),
        name: name.parse().expect("a valid name"),
        priority: None,
        unit: CostUnit::Tokens { uncounted: Tokens(200) },
    }
}

#[test]
fn key_finds_its_account_and_no_other() {
    let mut accounts = AccountDirectory::default();
    let keys = |names: &[&str]| -> Vec<_> {
        names.iter().map(|name| KeyDigest::of(name.as_bytes())).collect()
    };
    accounts.insert(account("a", 10.0), keys(&["k1", "k2"])).expect("a new account");
    accounts.insert(account("b", 30.0), keys(&["k3"])).expect("a new account");
    let name = |key: &[u8]| accounts.find(key).map(|account| account.name.to_string());
    assert_eq!(name(b"k2").as_deref(), Some("a"));
    assert_eq!(name(b"k3").as_deref(), Some("b"));
    for unknown in [&b"k"[..], b"", b"K1", b"k1 ", b"\xff\xfe"] {
        assert_eq!(name(unknown), None);
    }
    assert!(!format!("{accounts:?}").contains("k1"), "keys are not kept in clear");
}

#[test]
fn account_with_the_key_of_another_is_rejected() {
    let mut accounts = AccountDirectory::default();
    accounts.insert(account("a", 10.0), [KeyDigest::of(b"k")]).expect("a new account");
    assert!(accounts.insert(account("b", 10.0), [KeyDigest::of(b"k")]).is_err());
    assert!(accounts.insert(account("a", 10.0), []).is_err());
}

#[test]
fn shares_follow_the_limits() {
    let mut accounts = AccountDirectory::default();
    accounts.insert(account("a", 10.0), []).expect("a new account");
    accounts.insert(account("b", 30.0), []).expect("a new account");
    assert_eq!(accounts.share_of(&account("b", 30.0)), 0.75);
    accounts.insert(account("c", 0.0), []).expect("a new account");
    assert_eq!(accounts.share_of(&account("b", 30.0)), 1.0 / 3.0);
}

#[test]
fn cost_is_the_prompt_and_the_longest_output() {
    let counted = account("a", 1.0);
    assert_eq!(counted.cost_of(Some((Tokens(5_000), Tokens(130)))), 5_130.0);
    assert_eq!(counted.cost_of(None), 200.0);
    let by_request = ClientAccount { unit: CostUnit::Requests, ..counted };
    assert_eq!(by_request.cost_of(Some((Tokens(5_000), Tokens(130)))), 1.0);
}

#[test]
fn allotment_is_written_and_read() {
    let allotment = TokenAllotment { burst: 500.0, rate: TokenRate(250.0) };
    assert_eq!(allotment.to_string().parse(), Ok(allotment));
    assert!("250".parse::<TokenAllotment>().is_err());
}
