//! `plan`: work out what a change would do, without doing it.

use std::{fs, path::PathBuf, sync::Arc};

use bpaf::{Parser, construct, long, positional};
use tarragonhill_core::{
    plan::{Change, Intent},
    settings::{Endpoint, Role, WithdrawalPolicy, digest},
};
use tarragonhill_operator::{Planned, new_key};

use crate::cmd::{Command, CommandError, Entry};

#[derive(Clone, Debug)]
pub(crate) struct Options {
    entry: Entry,
    out: PathBuf,
    wish: Wish,
}

/// What the operator asks for; a key is made here, so that it never leaves this machine.
#[derive(Clone, Debug)]
enum Wish {
    Intent(Intent),
    GiveKey { customer: String, id: String },
}

pub(crate) fn command() -> impl Parser<Command> {
    let entry = Entry::parser();
    let out = long("out")
        .help("Where to write the plan [default: plan.json]")
        .argument::<PathBuf>("FILE")
        .fallback("plan.json".into());
    let wish = wish();
    let options = construct!(Options { entry, out, wish }).map(Command::Plan);
    options.to_options().descr("Work out what a change would do").command("plan")
}

fn wish() -> impl Parser<Wish> {
    let customer = customer();
    let remove_customer = remove_customer();
    let give_key = give_key();
    let withdraw_key = withdraw_key();
    let endpoint = endpoint();
    let remove_endpoint = remove_endpoint();
    let drain = host("drain", "Let no new work onto an endpoint host", |host| Intent::DrainHost { host });
    let resume = host("resume", "Let work onto a drained host again", |host| Intent::ResumeHost { host });
    let serve = serve();
    construct!([
        customer,
        remove_customer,
        give_key,
        withdraw_key,
        endpoint,
        remove_endpoint,
        drain,
        resume,
        serve
    ])
}

fn name(help: &'static str) -> impl Parser<Arc<str>> {
    positional::<String>("NAME").help(help).map(Arc::from)
}

fn number(flag: &'static str, help: &'static str) -> impl Parser<u64> {
    long(flag).help(help).argument::<u64>("N")
}

fn customer() -> impl Parser<Wish> {
    let rate = number("rate", "Tokens a second over the whole fleet");
    let burst = number("burst", "Most tokens at once");
    let weight = long("weight").help("Share on contended endpoints").argument::<u32>("N").fallback(1);
    let name = name("The customer");
    construct!(Intent::PutCustomer { rate, burst, weight, name })
        .map(Wish::Intent)
        .to_options()
        .descr("Create a customer or change its rate, burst or weight")
        .command("customer")
}

fn remove_customer() -> impl Parser<Wish> {
    let name = name("The customer");
    construct!(Intent::RemoveCustomer { name })
        .map(Wish::Intent)
        .to_options()
        .descr("Remove a customer whose keys are withdrawn")
        .command("remove-customer")
}

fn give_key() -> impl Parser<Wish> {
    let customer = positional::<String>("CUSTOMER").help("The customer");
    let id = positional::<String>("ID").help("Public identifier of the new key");
    construct!(Wish::GiveKey { customer, id })
        .to_options()
        .descr("Make a key for a customer; it is printed once and only its digest is sent")
        .command("give-key")
}

fn withdraw_key() -> impl Parser<Wish> {
    let running = long("running")
        .help("What becomes of answers already streaming: cut or finish")
        .argument::<WithdrawalPolicy>("WHAT")
        .fallback(WithdrawalPolicy::Cut)
        .display_fallback();
    let id = positional::<String>("ID").help("Public identifier of the key").map(Arc::from);
    construct!(Intent::WithdrawKey { running, id })
        .map(Wish::Intent)
        .to_options()
        .descr("Withdraw a key for good")
        .command("withdraw-key")
}

fn text(flag: &'static str, help: &'static str) -> impl Parser<Arc<str>> {
    long(flag).help(help).argument::<String>("TEXT").map(Arc::from)
}

fn role() -> impl Parser<Role> {
    long("role").help("prefill, decode or plain").argument::<Role>("ROLE")
}

fn endpoint() -> impl Parser<Wish> {
    let role = role();
    let serves = text("serves", "Model or service it serves");
    let host = text("host", "Endpoint host it stands on");
    let zone = text("zone", "Availability zone of the host");
    let address = text("address", "Where it listens, ip:port");
    let agent = text("agent", "Where its agent listens, ip:port");
    let pieces = long("pieces").help("Memory pieces (decode)").argument::<u32>("N").fallback(0);
    let context = long("context").help("Most tokens of prompt and answer").argument::<u32>("N").fallback(0);
    let checks_fencing = long("checks-fencing").help("It refuses orders with an old fencing number").switch();
    let leaving = bpaf::pure(false);
    let generation = bpaf::pure(0);
    let endpoint = construct!(Endpoint {
        role,
        serves,
        host,
        zone,
        address,
        agent,
        pieces,
        context,
        checks_fencing,
        leaving,
        generation
    });
    let name = name("The endpoint");
    construct!(Intent::PutEndpoint { endpoint, name })
        .map(Wish::Intent)
        .to_options()
        .descr("Create or change an endpoint")
        .command("endpoint")
}

fn remove_endpoint() -> impl Parser<Wish> {
    let name = name("The endpoint");
    construct!(Intent::RemoveEndpoint { name })
        .map(Wish::Intent)
        .to_options()
        .descr("Remove an endpoint that is leaving")
        .command("remove-endpoint")
}

fn host(
    command: &'static str,
    descr: &'static str,
    intent: impl Fn(Arc<str>) -> Intent + 'static,
) -> impl Parser<Wish> {
    let host = positional::<String>("HOST").help("The endpoint host").map(Arc::from);
    host.map(move |host| Wish::Intent(intent(host))).to_options().descr(descr).command(command)
}

fn serve() -> impl Parser<Wish> {
    let role = role();
    let serves = text("serves", "Model it shall serve");
    let endpoint = name("The endpoint");
    construct!(Intent::Serve { role, serves, endpoint })
        .map(Wish::Intent)
        .to_options()
        .descr("Order an endpoint to load another model or change its role")
        .command("serve")
}

pub(crate) async fn execute(options: Options) -> Result<(), CommandError> {
    let (intent, key) = intent(options.wish)?;
    let planned = options.entry.client().plan(&intent).await?;
    let path = options.out;
    let text = format!("{:#}\n", serde_json::json!(planned));
    fs::write(&path, text).map_err(|error| CommandError::File(path.clone(), error))?;
    report(&planned);
    if let Some(key) = key {
        println!("the key, shown only now: {key}");
    }
    println!("to confirm: tarragonhill confirm {}", path.display());
    Ok(())
}

fn intent(wish: Wish) -> Result<(Intent, Option<String>), CommandError> {
    match wish {
        Wish::Intent(intent) => Ok((intent, None)),
        Wish::GiveKey { customer, id } => {
            let key = new_key()?;
            let digest = digest(&key).into();
            Ok((Intent::GiveKey { id: id.into(), digest, customer: customer.into() }, Some(key)))
        }
    }
}

fn report(planned: &Planned) {
    let plan = &planned.plan;
    println!("plan {} on settings version {}, digest {}", plan.id, plan.version, planned.digest);
    for Change { row, before, after } in &plan.changes {
        let text =
            |value: &Option<serde_json::Value>| value.as_ref().map_or("nothing".into(), |v| v.to_string());
        println!("  {row}\n    from {}\n    to   {}", text(before), text(after));
    }
    let touches = &plan.touches;
    println!("touches endpoints {:?}, customers {:?}", touches.endpoints, touches.customers);
    println!("{} requests run through this entry now", touches.requests);
    for warning in &touches.warnings {
        println!("warning: {warning}");
    }
}
