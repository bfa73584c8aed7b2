//! Tokens of client accounts: admission of requests, and the exchange of tokens with other hosts.
//!
//! The hosts that have registered hold the shares of each account's limit. One that the others do not
//! know of yet holds none, since one of them holds the share that would be its own; it asks them for
//! tokens.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use {
    tokio::sync::oneshot,
    toucanhoist_core::{
        clock::Time,
        id,
        quota::{Account, Amount, Decision, Holder, Peer, Verdict, holders},
        steering::{AccountTerms, EntryHost},
    },
    toucanhoist_wire::steering::{TokensAsk, TokensGiven, packet},
};

use crate::{peers, settings};

/// Returns the data centres of hosts.
pub(super) fn data_centres(
    hosts: &BTreeMap<id::EntryHost, EntryHost>,
) -> BTreeMap<id::EntryHost, id::DataCentre> {
    hosts.iter().map(|(name, host)| (name.clone(), host.data_centre.clone())).collect()
}

/// Receives the decision about a request; an error is the time after which a token is available.
pub(super) type Reply = oneshot::Sender<Result<(), Duration>>;

/// The client accounts that have a limit, as one host knows them.
pub(super) struct Accounts {
    host: id::EntryHost,
    data_centre: id::DataCentre,
    regions: BTreeMap<id::DataCentre, id::Region>,
    /// Whether the fleet starts for the first time, and this host has had no shares yet.
    first_start: bool,
    peers: peers::Sender,
    accounts: HashMap<id::Account, Account>,
    /// Hosts that have registered.
    hosts: Arc<BTreeMap<id::EntryHost, EntryHost>>,
    /// Their data centres.
    data_centres: BTreeMap<id::EntryHost, id::DataCentre>,
    /// Reply channels of the requests that wait for a token, by ticket.
    waiting: HashMap<u64, Reply>,
    next_ticket: u64,
    next_question: u64,
}

impl Accounts {
    pub(super) fn new(settings: &settings::Settings, peers: peers::Sender) -> Accounts {
        Accounts {
            host: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            regions: settings.regions.clone(),
            first_start: settings.first_start,
            peers,
            accounts: HashMap::new(),
            hosts: Arc::default(),
            data_centres: BTreeMap::new(),
            waiting: HashMap::new(),
            next_ticket: 0,
            next_question: rand::random(),
        }
    }

    /// Whether requests wait for a token.
    pub(super) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Sets the registered hosts.
    pub(super) fn set_hosts(&mut self, hosts: Arc<BTreeMap<id::EntryHost, EntryHost>>) {
        self.data_centres = data_centres(&hosts);
        self.hosts = hosts;
    }

    /// Sets each host's share of the accounts.
    ///
    /// A host that cannot be reached keeps its share, since it may still be serving, so that the shares of all
    /// hosts never add up to more than the account's limit.
    pub(super) fn set_shares(&mut self, now: Time, terms: &[AccountTerms]) {
        let mut former = std::mem::take(&mut self.accounts);
        for terms in terms.iter().filter(|terms| terms.rate > 0.0) {
            let account = former.remove(&terms.name);
            let account =
                self.resize(now, terms, account, &holders(&terms.name, &self.data_centres));
            self.accounts.insert(terms.name.clone(), account);
        }
        // Requests that wait for accounts that were removed, or have no limit any more, are refused: `later` is
        // past the longest wait for a token.
        let later = now + Duration::from_secs(1);
        for mut account in former.into_values().filter(Account::is_waiting) {
            let verdicts = account.settle(later, false);
            self.deliver(verdicts);
        }
        self.first_start &= !self.hosts.contains_key(&self.host);
    }

    /// Returns an account with this host's share, created if `account` is `None`.
    fn resize(
        &self,
        now: Time,
        terms: &AccountTerms,
        account: Option<Account>,
        holders: &[&id::EntryHost],
    ) -> Account {
        let fraction = 1.0 / f64::from(u32::try_from(holders.len()).unwrap_or(u32::MAX));
        let share =
            Amount { rate: terms.rate * fraction, burst: (terms.burst * fraction).max(1.0) };
        let mut account = account.unwrap_or_else(|| Account::new(now));
        account.set_rate(terms.rate);
        if holders.contains(&&self.host) {
            account.bucket().resize(now, share.rate, share.burst);
            if self.first_start {
                account.bucket().put(now, share.burst);
            }
        } else {
            account.bucket().resize(now, 0.0, 0.0);
        }
        let peer = |host: &&id::EntryHost| {
            let entry = self.hosts.get(*host).filter(|_| **host != self.host)?;
            let holder = Holder { host: (*host).clone(), epoch: entry.epoch };
            Some(Peer { holder, share, distance: self.distance(&entry.data_centre) })
        };
        account.set_peers(holders.iter().filter_map(peer).collect());
        account
    }

    /// Returns 0 for a data centre of this host's region, and 1 for another.
    fn distance(&self, data_centre: &id::DataCentre) -> u8 {
        u8::from(self.regions.get(data_centre) != self.regions.get(&self.data_centre))
    }

    /// Takes a token for a request, and sends the decision to `reply`.
    pub(super) fn admit(&mut self, now: Time, name: &id::Account, reply: Reply) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let has_peers = self.hosts.keys().any(|host| *host != self.host);
        let decision = match self.accounts.get_mut(name) {
            Some(account) => account.offer(now, true, has_peers, ticket),
            None => Decision::Admit,
        };
        // The request may have been dropped; its token is spent all the same.
        let _ = match decision {
            Decision::Admit => reply.send(Ok(())),
            Decision::Refuse(after) => reply.send(Err(after)),
            Decision::Wait => {
                self.waiting.insert(ticket, reply);
                self.poll_account(now, name);
                Ok(())
            }
        };
    }

    /// Decides about waiting requests of all accounts, and asks other hosts for tokens.
    pub(super) fn poll(&mut self, now: Time) {
        let names: Vec<id::Account> = self.accounts.keys().cloned().collect();
        names.iter().for_each(|name| self.poll_account(now, name));
    }

    fn poll_account(&mut self, now: Time, name: &id::Account) {
        let Some(account) = self.accounts.get_mut(name) else { return };
        let verdicts = account.settle(now, true);
        for (question, holder, tokens) in account.ask(now, &mut self.next_question) {
            let Some(host) = self.hosts.get(&holder.host) else { continue };
            let ask = TokensAsk { question, account: name.to_string(), tokens };
            self.peers.send(host.peers, packet::Body::TokensAsk(ask));
        }
        self.deliver(verdicts);
    }

    fn deliver(&mut self, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            if let Some(reply) = self.waiting.remove(&verdict.ticket) {
                // The request may have been dropped; its token is spent all the same.
                let _ = reply.send(verdict.refused.map_or(Ok(()), Err));
            }
        }
    }

    /// Gives tokens to another host that asks for them.
    pub(super) fn give_tokens(&mut self, now: Time, from: SocketAddr, ask: TokensAsk) {
        let Ok(name) = id::Account::from_text(&ask.account) else { return };
        let Some(account) = self.accounts.get_mut(&name) else { return };
        let (tokens, left) = account.give(now, ask.tokens);
        let TokensAsk { question, account, .. } = ask;
        let given = TokensGiven { question, account, tokens, left };
        self.peers.send(from, packet::Body::TokensGiven(given));
    }

    /// Accepts tokens that another host gave.
    pub(super) fn take_tokens(&mut self, now: Time, given: &TokensGiven) {
        let Ok(name) = id::Account::from_text(&given.account) else { return };
        let Some(account) = self.accounts.get_mut(&name) else { return };
        let verdicts = account.accept(now, given.question, given.tokens, given.left);
        self.deliver(verdicts);
        self.poll_account(now, &name);
    }
}
