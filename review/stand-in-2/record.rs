//! The record of a run: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = BufWriter::new(File::create(folder.join("record.txt"))?);
        Ok(Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    pub fn millis(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes one line with the time in seconds.
    pub fn line(&self, text: &str) {
        let ms = self.millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:7}.{:03} {text}", ms / 1_000, ms % 1_000);
    }

    /// The same, also on standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    pub fn finish(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
