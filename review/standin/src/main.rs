//! Plays one case of the review: `review_standin CASE ROOT`, where ROOT is the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cloud;
mod entries;
mod executor;
mod http;
mod link;
mod record;
mod store;

mod advice;
mod late_order;
mod restart;
mod setup;

use std::{env, path::PathBuf, process::exit};

use setup::{Outcome, World};

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: review_standin CASE ROOT FOLDER");
        exit(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let play = match case.as_str() {
        "restart" => restart::play,
        "late-order" => late_order::play,
        "advice" => advice::play,
        _ => {
            eprintln!("no such case");
            exit(2);
        }
    };
    let world = match World::new(&PathBuf::from(root), &PathBuf::from(folder)) {
        Ok(world) => world,
        Err(error) => {
            eprintln!("the case can't run: {error}");
            exit(2);
        }
    };
    let outcome = play(&world, has_trouble);
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken(why) => (format!("the rule was broken: {why}"), 1),
        Outcome::NotRun(why) => (format!("the case couldn't run: {why}"), 2),
    };
    world.record.say(&text);
    exit(code);
}
