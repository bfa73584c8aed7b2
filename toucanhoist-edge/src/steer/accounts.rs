//! Tokens of client accounts: who is admitted, and the exchange of tokens with other hosts.

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

/// Where an answer to a request for a token goes.
pub(super) type Reply = oneshot::Sender<Result<(), Duration>>;

/// The accounts of a host.
pub(super) struct Accounts {
    host: id::EntryHost,
    data_centre: id::DataCentre,
    regions: BTreeMap<id::DataCentre, id::Region>,
    first_start: bool,
    peers: peers::Sender,
    known: HashMap<id::Account, Account>,
    hosts: Arc<BTreeMap<id::EntryHost, EntryHost>>,
    /// Data centres of the hosts, this one among them.
    centres: BTreeMap<id::EntryHost, id::DataCentre>,
    /// Requests that wait for a token.
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
            known: HashMap::new(),
            hosts: Arc::default(),
            centres: BTreeMap::from([(settings.name.clone(), settings.data_centre.clone())]),
            waiting: HashMap::new(),
            next_ticket: 0,
            next_question: rand::random(),
        }
    }

    /// Whether requests wait for a token.
    pub(super) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Sets the hosts that have registered; returns the data centres of all hosts, this one among them.
    pub(super) fn set_hosts(
        &mut self,
        hosts: Arc<BTreeMap<id::EntryHost, EntryHost>>,
    ) -> &BTreeMap<id::EntryHost, id::DataCentre> {
        let centre =
            |(name, host): (&id::EntryHost, &EntryHost)| (name.clone(), host.data_centre.clone());
        self.centres = hosts.iter().map(centre).collect();
        self.centres.insert(self.host.clone(), self.data_centre.clone());
        self.hosts = hosts;
        &self.centres
    }

    /// Sets each host's share of the accounts.
    ///
    /// A host keeps its share while it cannot be reached, since it goes on serving. So the shares of
    /// all hosts never exceed what an account was agreed.
    pub(super) fn set_shares(&mut self, now: Time, terms: &[AccountTerms]) {
        let mut known = std::mem::take(&mut self.known);
        for terms in terms.iter().filter(|terms| terms.rate > 0.0) {
            let account = known.remove(&terms.name);
            let account = self.share(now, terms, account, &holders(&terms.name, &self.centres));
            self.known.insert(terms.name.clone(), account);
        }
        // Requests of an account that has gone, or has no limit any more, wait for nothing.
        let later = now + Duration::from_secs(1);
        for mut account in known.into_values().filter(Account::is_waiting) {
            let verdicts = account.settle(later, false);
            self.settle(verdicts);
        }
        self.first_start = false;
    }

    /// Sets the host's share of an account, which is new if there is none.
    fn share(
        &self,
        now: Time,
        terms: &AccountTerms,
        account: Option<Account>,
        holders: &[&id::EntryHost],
    ) -> Account {
        let part = 1.0 / f64::from(u32::try_from(holders.len()).unwrap_or(u32::MAX));
        let share = Amount { rate: terms.rate * part, burst: (terms.burst * part).max(1.0) };
        let is_new = account.is_none();
        let mut account = account.unwrap_or_else(|| Account::new(now));
        account.set_rate(terms.rate);
        if holders.contains(&&self.host) {
            account.bucket().resize(now, share.rate, share.burst);
            if is_new && self.first_start {
                account.bucket().put(now, share.burst);
            }
        } else {
            account.bucket().resize(now, 0.0, 0.0);
        }
        let other = |host: &&id::EntryHost| {
            let entry = self.hosts.get(*host).filter(|_| **host != self.host)?;
            let holder = Holder { host: (*host).clone(), epoch: entry.epoch };
            Some(Peer { holder, share, distance: self.distance(&entry.data_centre) })
        };
        account.set_peers(holders.iter().filter_map(other).collect());
        account
    }

    fn distance(&self, data_centre: &id::DataCentre) -> u8 {
        u8::from(self.regions.get(data_centre) != self.regions.get(&self.data_centre))
    }

    /// Takes a token for a request; it is told what came of it.
    pub(super) fn admit(&mut self, now: Time, name: &id::Account, reply: Reply) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let others = self.hosts.len() > 1;
        let decision = match self.known.get_mut(name) {
            Some(account) => account.offer(now, true, others, ticket),
            None => Decision::Admit,
        };
        // Who asked may have gone; the token is spent all the same.
        let _ = match decision {
            Decision::Admit => reply.send(Ok(())),
            Decision::Refuse(after) => reply.send(Err(after)),
            Decision::Wait => {
                self.waiting.insert(ticket, reply);
                self.serve(now, name);
                Ok(())
            }
        };
    }

    /// Settles the requests that wait, and asks other hosts for tokens.
    pub(super) fn serve_all(&mut self, now: Time) {
        let names: Vec<id::Account> = self.known.keys().cloned().collect();
        names.iter().for_each(|name| self.serve(now, name));
    }

    fn serve(&mut self, now: Time, name: &id::Account) {
        let Some(account) = self.known.get_mut(name) else { return };
        let verdicts = account.settle(now, true);
        for (question, holder, tokens) in account.ask(now, &mut self.next_question) {
            let Some(host) = self.hosts.get(&holder.host) else { continue };
            let ask = TokensAsk { question, account: name.to_string(), tokens };
            self.peers.send(host.peers, packet::Body::TokensAsk(ask));
        }
        self.settle(verdicts);
    }

    fn settle(&mut self, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            if let Some(reply) = self.waiting.remove(&verdict.ticket) {
                // Who asked may have gone; the token is spent all the same.
                let _ = reply.send(verdict.refused.map_or(Ok(()), Err));
            }
        }
    }

    /// Answers another host that asks for tokens.
    pub(super) fn give(&mut self, now: Time, from: SocketAddr, ask: TokensAsk) {
        let Ok(name) = ask.account.parse::<id::Account>() else { return };
        let Some(account) = self.known.get_mut(&name) else { return };
        let (tokens, left) = account.give(now, ask.tokens);
        let TokensAsk { question, account, .. } = ask;
        let given = TokensGiven { question, account, tokens, left };
        self.peers.send(from, packet::Body::TokensGiven(given));
    }

    /// Takes in tokens that another host gave.
    pub(super) fn take(&mut self, now: Time, given: &TokensGiven) {
        let Ok(name) = given.account.parse::<id::Account>() else { return };
        let Some(account) = self.known.get_mut(&name) else { return };
        let verdicts = account.accept(now, given.question, given.tokens, given.left);
        self.settle(verdicts);
        self.serve(now, &name);
    }
}
