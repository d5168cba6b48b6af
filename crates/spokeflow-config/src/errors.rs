/// What does not fit, one line each, naming the flag.
#[derive(Debug, Default, PartialEq)]
pub struct Faults(pub Vec<String>);

impl Faults {
    pub(crate) fn when(&mut self, wrong: bool, flag: &str, what: impl fmt::Display) {
        if wrong {
            self.0.push(format!("--{flag}: {what}"));
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

