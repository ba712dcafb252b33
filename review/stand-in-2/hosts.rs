//! The hosts under test as processes of their own.

use std::{
    fs::{self, File, OpenOptions},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, id},
};

use crate::record::Record;

const PROGRAM: &str = "target/release/hawthornstack-platform";
pub const CALLER_PORT: u16 = 8_784;
const READY_PORT: u16 = 8_785;
const OPERATOR_PORT: u16 = 8_782;
const LINK_PORT: u16 = 7_440;
const CLOUD_PORT: u16 = 8_783;
pub const DATABASE_PORT: u16 = 8_149;
/// Port of the metrics in deploy/system.toml.
const PAGES_PORT: u16 = 9_464;

pub const CONTROLS: [u8; 3] = [11, 12, 13];
/// The control host that replaces one of the first.
pub const NEW_CONTROL: u8 = 14;
pub const ENTRIES: [u8; 2] = [21, 22];
const CLOUD: u8 = 40;
const DATABASES: u8 = 30;

/// Loopback addresses of a run, and its temporary folder.
#[derive(Clone)]
pub struct Network {
    second: u8,
    third: u8,
    pub folder: PathBuf,
}

impl Network {
    /// Finds addresses that nobody uses.
    pub fn find() -> io::Result<Self> {
        let start = id();
        for attempt in 0..50 {
            let number = start.wrapping_mul(31).wrapping_add(attempt * 97);
            let second = 64 + (number % 128) as u8;
            let third = (number / 128 % 250) as u8;
            let folder = std::env::temp_dir().join(format!("review-2-{second}-{third}"));
            let network = Self { second, third, folder };
            let ports = [PAGES_PORT, OPERATOR_PORT, CALLER_PORT, READY_PORT, LINK_PORT];
            let hosts = CONTROLS.iter().chain(&ENTRIES).chain(&[NEW_CONTROL]);
            let free = hosts.flat_map(|host| ports.map(|port| network.address(*host, port)));
            if free.into_iter().all(|at| TcpListener::bind(at).is_ok()) && !network.folder.exists()
            {
                fs::create_dir_all(&network.folder)?;
                return Ok(network);
            }
        }
        Err(io::Error::other("no free loopback addresses"))
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, host)
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(host), port))
    }

    pub fn operator(&self, host: u8) -> SocketAddr {
        self.address(host, OPERATOR_PORT)
    }

    pub fn caller(&self, host: u8) -> SocketAddr {
        self.address(host, CALLER_PORT)
    }

    pub fn ready(&self, host: u8) -> SocketAddr {
        self.address(host, READY_PORT)
    }

    pub fn cloud(&self) -> SocketAddr {
        self.address(CLOUD, CLOUD_PORT)
    }

    pub fn database(&self, number: u8) -> SocketAddr {
        self.address(DATABASES + number, DATABASE_PORT)
    }
}

/// A process under test, killed when it is dropped.
pub struct Host {
    number: u8,
    role: &'static str,
    network: Network,
    child: Child,
}

impl Host {
    /// Starts a control host.
    pub fn control(network: &Network, number: u8, record: &Record) -> io::Result<Self> {
        Self::start(network, number, "control", true, record)
    }

    /// Starts an entry host.
    pub fn entry(network: &Network, number: u8, record: &Record) -> io::Result<Self> {
        Self::start(network, number, "entry", true, record)
    }

    fn start(
        network: &Network,
        number: u8,
        role: &'static str,
        bootstrap: bool,
        record: &Record,
    ) -> io::Result<Self> {
        if !Path::new(PROGRAM).exists() {
            return Err(io::Error::other("build the program under test first"));
        }
        let child = spawn(network, number, role, bootstrap)?;
        record.line(&format!("started {role} {} as process {}", network.ip(number), child.id()));
        Ok(Self { number, role, network: network.clone(), child })
    }

    /// Starts a control host with an empty disk beside those that run.
    pub fn joining_control(network: &Network, number: u8, record: &Record) -> io::Result<Self> {
        Self::start(network, number, "control", false, record)
    }

    /// Asks the process to stop.
    pub fn terminate(&self, record: &Record) {
        record.line(&format!("SIGTERM to {} {}", self.role, self.network.ip(self.number)));
        let command = format!("kill -TERM {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Kills the process.
    pub fn kill(&mut self, record: &Record) {
        record.line(&format!("SIGKILL to {} {}", self.role, self.network.ip(self.number)));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Empties the disk of a host that was killed.
    pub fn lose_disk(&self, record: &Record) -> io::Result<()> {
        record.line(&format!("{} {} loses its disk", self.role, self.network.ip(self.number)));
        fs::remove_dir_all(data_folder(&self.network, self.number))
    }

    /// Starts a host that was killed again, with its disk.
    pub fn restart(&mut self, record: &Record) -> io::Result<()> {
        self.child = spawn(&self.network, self.number, self.role, false)?;
        record.line(&format!("started {} {} again", self.role, self.network.ip(self.number)));
        Ok(())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn data_folder(network: &Network, number: u8) -> PathBuf {
    network.folder.join(format!("data-{number}"))
}

fn spawn(network: &Network, number: u8, role: &str, bootstrap: bool) -> io::Result<Child> {
    let (folder, ip) = (&network.folder, network.ip(number));
    let seeds: Vec<String> =
        CONTROLS.iter().map(|seed| network.operator(*seed).to_string()).collect();
    let (class, listen) = match role {
        "control" => {
            let data = data_folder(network, number);
            let listen = network.operator(number);
            ("core", format!("listen.control={listen}\ndata_dir={}\n", data.display()))
        }
        _ => {
            let (front, ready) = (network.caller(number), network.ready(number));
            ("front", format!("listen.front={front}\nlisten.ready={ready}\n"))
        }
    };
    let text = format!(
        "node={class}-a-{number}\nrole={role}\nmachine_class={class}\nip={ip}\nzone=a\nregion=r\n\
         zones.a=r\n{listen}internal_ports={LINK_PORT},{}\nseeds={}\nbootstrap={bootstrap}\n\
         discovery=registration\nheartbeat_ms=1200\nfault_tolerance.machines=1\n\
         fault_tolerance.zones=0\nfault_tolerance.regions=0\nbounds.contact_ms=4000\n\
         bounds.ack_ms=5000\nbounds.drain_ms=7000\nbounds.grace_s=6\n\
         bounds.config_apply_ms=3000\nbounds.require_fencing=false\nconfig_mode=highest\n\
         cloud_api.address={}\ncloud_api.duties=promote\ncloud_api.duty_per_s=50.0\n",
        LINK_PORT + 15,
        seeds.join(","),
        network.cloud(),
    );
    let settings = folder.join(format!("{number}.conf"));
    fs::write(&settings, text)?;
    let log: File =
        OpenOptions::new().create(true).append(true).open(folder.join(format!("{number}.log")))?;
    Command::new(PROGRAM)
        .arg(role)
        .env("HAWTHORNSTACK_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
