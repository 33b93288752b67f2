//! `plan`: computes the effects of a change without applying it.

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
    operation: Operation,
}

/// Requested operation. A new key is generated locally, so that only its digest is sent.
#[derive(Clone, Debug)]
enum Operation {
    Intent(Intent),
    GiveKey { customer: String, id: String },
}

pub(crate) fn command() -> impl Parser<Command> {
    let entry = Entry::parser();
    let out = long("out")
        .help("File to write the plan to [default: plan.json]")
        .argument::<PathBuf>("FILE")
        .fallback("plan.json".into());
    let operation = operation();
    let options = construct!(Options { entry, out, operation }).map(Command::Plan);
    options.to_options().descr("Compute the effects of a change without applying it").command("plan")
}

fn operation() -> impl Parser<Operation> {
    let customer = customer();
    let remove_customer = remove_customer();
    let give_key = give_key();
    let withdraw_key = withdraw_key();
    let endpoint = endpoint();
    let remove_endpoint = remove_endpoint();
    let drain = host("drain", "Stop placing new work on an endpoint host", |host| Intent::DrainHost { host });
    let resume = host("resume", "Resume placing work on a drained host", |host| Intent::ResumeHost { host });
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

fn customer() -> impl Parser<Operation> {
    let rate = number("rate", "Token rate over the whole fleet, tokens per second");
    let burst = number("burst", "Maximum burst, tokens");
    let weight =
        long("weight").help("Weight in sharing contended endpoints").argument::<u32>("N").fallback(1);
    let name = name("The customer");
    construct!(Intent::PutCustomer { rate, burst, weight, name })
        .map(Operation::Intent)
        .to_options()
        .descr("Create a customer or change its rate, burst or weight")
        .command("customer")
}

fn remove_customer() -> impl Parser<Operation> {
    let name = name("The customer");
    construct!(Intent::RemoveCustomer { name })
        .map(Operation::Intent)
        .to_options()
        .descr("Remove a customer without valid keys")
        .command("remove-customer")
}

fn give_key() -> impl Parser<Operation> {
    let customer = positional::<String>("CUSTOMER").help("The customer");
    let id = positional::<String>("ID").help("Public identifier of the new key");
    construct!(Operation::GiveKey { customer, id })
        .to_options()
        .descr("Create a key for a customer; the key is printed once and only its digest is sent")
        .command("give-key")
}

fn withdraw_key() -> impl Parser<Operation> {
    let running = long("running")
        .help("Handling of responses that are being streamed: cut or finish")
        .argument::<WithdrawalPolicy>("WHAT")
        .fallback(WithdrawalPolicy::Cut)
        .display_fallback();
    let id = positional::<String>("ID").help("Public identifier of the key").map(Arc::from);
    construct!(Intent::WithdrawKey { running, id })
        .map(Operation::Intent)
        .to_options()
        .descr("Withdraw a key permanently")
        .command("withdraw-key")
}

fn text(flag: &'static str, help: &'static str) -> impl Parser<Arc<str>> {
    long(flag).help(help).argument::<String>("TEXT").map(Arc::from)
}

fn role() -> impl Parser<Role> {
    long("role").help("prefill, decode or plain").argument::<Role>("ROLE")
}

fn endpoint() -> impl Parser<Operation> {
    let role = role();
    let serves = text("serves", "Model or service that the endpoint serves");
    let host = text("host", "Host on which the endpoint runs");
    let zone = text("zone", "Availability zone of the host");
    let address = text("address", "Listen address of the endpoint, ip:port");
    let agent = text("agent", "Listen address of its agent, ip:port");
    let pieces =
        long("pieces").help("KV cache capacity in pieces (decode only)").argument::<u32>("N").fallback(0);
    let context = long("context")
        .help("Maximum number of tokens in prompt and output")
        .argument::<u32>("N")
        .fallback(0);
    let checks_fencing =
        long("checks-fencing").help("The endpoint refuses orders with an outdated fencing number").switch();
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
        .map(Operation::Intent)
        .to_options()
        .descr("Create or change an endpoint")
        .command("endpoint")
}

fn remove_endpoint() -> impl Parser<Operation> {
    let name = name("The endpoint");
    construct!(Intent::RemoveEndpoint { name })
        .map(Operation::Intent)
        .to_options()
        .descr("Remove an endpoint whose host is drained")
        .command("remove-endpoint")
}

fn host(
    command: &'static str,
    descr: &'static str,
    intent: impl Fn(Arc<str>) -> Intent + 'static,
) -> impl Parser<Operation> {
    let host = positional::<String>("HOST").help("The endpoint host").map(Arc::from);
    host.map(move |host| Operation::Intent(intent(host))).to_options().descr(descr).command(command)
}

fn serve() -> impl Parser<Operation> {
    let role = role();
    let serves = text("serves", "Model to serve");
    let endpoint = name("The endpoint");
    construct!(Intent::Serve { role, serves, endpoint })
        .map(Operation::Intent)
        .to_options()
        .descr("Order an endpoint to load another model or change its role")
        .command("serve")
}

pub(crate) async fn execute(options: Options) -> Result<(), CommandError> {
    let (intent, key) = intent(options.operation)?;
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

fn intent(operation: Operation) -> Result<(Intent, Option<String>), CommandError> {
    match operation {
        Operation::Intent(intent) => Ok((intent, None)),
        Operation::GiveKey { customer, id } => {
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
