use crate::Failed;
#[derive(clap::Args)]
pub struct Demo {}
impl Demo {
    pub fn run(self) -> Result<(), Failed> {
        Ok(())
    }
}
