//! Issues, lists and withdraws tenants' keys.

use anyhow::bail;
use bpaf::Bpaf;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::State;
use persimmonbend_core::key::Digest;
use persimmonbend_core::key::Secret;
use serde_json::json;

use crate::command::Output;
use crate::command::change;
use crate::command::change::Options;
use crate::command::output;
use crate::exit::Answer;
use crate::exit::Exit;
use crate::exit::Unacknowledged;
use crate::fleet::Fleet;

/// Commands for keys:
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(command))]
pub enum Command {
    /// Issue a key and print it; it cannot be shown again
    #[bpaf(command)]
    Issue {
        #[bpaf(external)]
        output: Output,
        /// Label that the list of keys shows
        #[bpaf(long, argument("LABEL"), fallback(String::new()))]
        label: String,
        /// Tenant that the key belongs to
        #[bpaf(positional("TENANT"))]
        tenant: String,
    },
    /// List the keys by their digests
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        output: Output,
        /// List only the keys of this tenant
        #[bpaf(long, argument("TENANT"), optional)]
        tenant: Option<String>,
    },
    /// Withdraw a key; this cannot be undone
    #[bpaf(command)]
    Withdraw {
        #[bpaf(external)]
        output: Output,
        #[bpaf(external(change::options))]
        options: Options,
        /// Digest of the key, its first digits, or the key itself
        #[bpaf(positional("KEY"))]
        key: String,
    },
}

impl Command {
    /// Returns whether JSON output is requested.
    pub const fn wants_json(&self) -> bool {
        match self {
            Self::Issue { output, .. }
            | Self::List { output, .. }
            | Self::Withdraw { output, .. } => output.json,
        }
    }
}

/// Runs a command about keys.
pub async fn run(fleet: &Fleet, command: &Command) -> anyhow::Result<Answer> {
    match command {
        Command::Issue { label, tenant, .. } => issue(fleet, tenant, label).await,
        Command::List { tenant, .. } => list(fleet, tenant.as_deref()).await,
        Command::Withdraw { options, key, .. } => withdraw(fleet, key, options).await,
    }
}

/// Returns the digest of the only key whose digest starts with `text`.
///
/// # Errors
///
/// Returns an error when no digest or several start with `text`.
pub fn resolve(state: &State, text: &str) -> anyhow::Result<Digest> {
    let mut found = state
        .keys()
        .keys()
        .filter(|digest| digest.to_string().starts_with(text));
    match (found.next(), found.next()) {
        (Some(digest), None) => Ok(*digest),
        (Some(_), Some(_)) => bail!("several digests start with {text}; give more digits"),
        _ => bail!("there is no key {text}"),
    }
}

async fn issue(fleet: &Fleet, tenant: &str, label: &str) -> anyhow::Result<Answer> {
    let secret = Secret::generate(&mut rand::rng());
    let digest = secret.digest();
    let change = Change::IssueKey {
        digest,
        tenant: tenant.to_owned(),
        label: label.to_owned(),
    };
    let options = Options {
        wait: false,
        wait_seconds: 0,
        change_id: None,
    };
    let mut answer = match change::submit(fleet, change, None, &options).await {
        Ok(answer) => answer,
        Err(error) if error.is::<Unacknowledged>() => {
            let text = format!(
                "{error}\nthe key is not shown; if it was issued, withdraw it with: \
                 pb-ctl key withdraw {digest}"
            );
            let value = json!({ "digest": digest });
            return Ok(Answer::new(Exit::Unknown, text, value));
        }
        Err(error) => return Err(error),
    };
    if matches!(answer.exit, Exit::Done | Exit::Pending) {
        eprintln!("{} (digest {})", answer.text, digest.short());
        answer.value["key"] = json!(secret.reveal());
        answer.value["digest"] = json!(digest);
        answer.text = secret.reveal();
    }
    Ok(answer)
}

async fn list(fleet: &Fleet, tenant: Option<&str>) -> anyhow::Result<Answer> {
    let (state, from_control) = fleet.config_with_fallback().await?;
    let wanted = state.keys().iter();
    let wanted = wanted.filter(|(_, key)| tenant.is_none_or(|tenant| key.tenant == tenant));
    let mut lines = Vec::new();
    let mut keys = Vec::new();
    for (digest, key) in wanted {
        let state = if key.withdrawn { "withdrawn" } else { "in use" };
        let (tenant, label) = (&key.tenant, &key.label);
        lines.push(format!("{} {tenant} {state} {label}", digest.short()));
        keys.push(json!({
            "digest": digest,
            "tenant": tenant,
            "label": label,
            "withdrawn": key.withdrawn,
        }));
    }
    if !from_control {
        lines.push(
            "control is away; this is the configuration that a proxy has in force".to_owned(),
        );
    }
    let value = json!({ "from_control": from_control, "keys": keys });
    Ok(Answer::new(Exit::Done, lines.join("\n"), value))
}

async fn withdraw(fleet: &Fleet, text: &str, options: &Options) -> anyhow::Result<Answer> {
    let digest_in_full = digest_in_full(text);
    match fleet.config().await {
        Ok(state) => {
            let digest = match digest_in_full {
                Some(digest) => digest,
                None => resolve(&state, text)?,
            };
            let change = Change::WithdrawKey { digest };
            match change::submit(fleet, change, None, options).await {
                Err(error) if error.is::<Unacknowledged>() => {
                    withdraw_without_control(fleet, digest, &error).await
                }
                other => other,
            }
        }
        Err(error) => {
            let digest = match digest_in_full {
                Some(digest) => digest,
                None => resolve(&fleet.config_from_proxy().await?, text)?,
            };
            withdraw_without_control(fleet, digest, &error).await
        }
    }
}

fn digest_in_full(text: &str) -> Option<Digest> {
    if let Ok(secret) = Secret::try_from(text) {
        return Some(secret.digest());
    }
    Digest::try_from(text.to_owned()).ok()
}

/// Withdraws a key at a proxy, because control does not answer.
async fn withdraw_without_control(
    fleet: &Fleet,
    digest: Digest,
    cause: &anyhow::Error,
) -> anyhow::Result<Answer> {
    let proxy = fleet.withdraw_by_proxy(digest).await?;
    let text = format!(
        "control gives no answer ({cause:#}); the proxy at {proxy} took the withdrawal of key {} and \
         sends it to the other proxies; they submit it to control once control answers again",
        digest.short()
    );
    let value = json!({ "digest": digest, "by_proxy": proxy, "recorded_at_control": false });
    Ok(Answer::new(Exit::Pending, text, value))
}
