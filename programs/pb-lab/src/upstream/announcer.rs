//! Announces a stand-in upstream to proxies.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

use cyper::Client;
use log::debug;
use log::warn;
use persimmonbend_app::stop::Stop;
use persimmonbend_core::upstream::Announcement;
use persimmonbend_core::upstream::Stage;

use crate::upstream::Setup;
use crate::upstream::server::Upstream;

/// Time between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Shortest time that an upstream keeps serving after it announced that it is draining.
const DRAIN_NOTICE: Duration = Duration::from_secs(2);

/// Timeout of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Announces the upstream at intervals until a stop is requested, then announces that it is draining
/// and, once it is idle, that it has left.
pub async fn run(setup: Setup, address: SocketAddr, upstream: Rc<Upstream>, stop: Stop) {
    let client = match Client::new() {
        Ok(client) => client,
        Err(error) => {
            warn!("upstream: cannot announce: {error}");
            return;
        }
    };
    let mut announcement = initial_announcement(&setup, address);
    while !stop.is_asked() {
        announcement.stage = Stage::Ready;
        announce_to_all(&client, &setup, &mut announcement).await;
        stop.until(compio::time::sleep(RENEWAL_INTERVAL)).await;
    }
    announcement.stage = Stage::Draining;
    announce_to_all(&client, &setup, &mut announcement).await;
    compio::time::sleep(DRAIN_NOTICE).await;
    upstream.wait_until_idle().await;
    announcement.stage = Stage::Left;
    announce_to_all(&client, &setup, &mut announcement).await;
}

fn initial_announcement(setup: &Setup, address: SocketAddr) -> Announcement {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    Announcement {
        id: setup.id.clone(),
        service: setup.service.clone(),
        address,
        zone: setup.zone.clone(),
        slots: u32::try_from(setup.slots).unwrap_or(u32::MAX),
        incarnation: u64::try_from(millis).unwrap_or(u64::MAX),
        sequence: 0,
        stage: Stage::Ready,
    }
}

async fn announce_to_all(client: &Client, setup: &Setup, announcement: &mut Announcement) {
    announcement.sequence += 1;
    for proxy in &setup.proxies {
        let url = format!("http://{proxy}/announce");
        let Ok(request) = client
            .post(url)
            .and_then(|request| request.json(announcement))
        else {
            continue;
        };
        let sent = compio::time::timeout(ANNOUNCE_TIMEOUT, request.send()).await;
        if !matches!(sent, Ok(Ok(_))) {
            debug!("upstream: {} could not announce to {proxy}", setup.id);
        }
    }
}
