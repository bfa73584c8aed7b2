//! What was sent, answered and run, as lines of `record.txt`.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { begun: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) })
    }

    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    pub fn line(&self, text: &str) {
        let seconds = self.begun.elapsed().as_secs_f64();
        let mut file = lock(&self.file);
        let _ = writeln!(file, "{seconds:8.3}  {text}");
    }

    pub fn flush(&self) {
        let _ = lock(&self.file).flush();
    }
}

pub fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
