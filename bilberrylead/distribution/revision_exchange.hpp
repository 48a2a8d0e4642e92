#ifndef BILBERRYLEAD_DISTRIBUTION_REVISION_EXCHANGE_HPP
#define BILBERRYLEAD_DISTRIBUTION_REVISION_EXCHANGE_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/distribution/exchange_effect.hpp"
#include "bilberrylead/distribution/exchange_event.hpp"
#include "bilberrylead/distribution/exchange_settings.hpp"
#include "bilberrylead/distribution/first_revision.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bilberrylead::distribution
{

/// Distributes accepted revisions to every process, as a reducer without clock
/// or I/O. Control hosts are the sources. Entry hosts accept revisions over
/// any link, including those to other entry hosts, so that a host that
/// restarts in a cut-off availability zone gets the newest revision that is
/// present in its zone.
///
/// Documents are pushed over one link only, the pushing link. Over the others
/// only revision numbers are announced, and a revision that stays missing is
/// fetched from the peers that announced it, one after the other. The revision
/// in force never decreases: older ones are dropped wherever they come from.
/// Since an entry host has no disk, one that restarts waits for the answers of
/// several control hosts (see first_revision) and takes the newest revision.
class revision_exchange
{
public:
    /// Makes an exchange without links and without a revision.
    explicit revision_exchange(exchange_settings const& settings);

    /// Handles one event. `now` must not decrease from call to call.
    std::vector<exchange_effect> reduce(exchange_event const& event,
                                        instant now);

    /// The newest revision that this process holds, 0 for none.
    revision current_revision() const;

    /// Number of subscribed peers whose revision in force is `number` or
    /// newer.
    std::size_t count_acknowledged(revision number) const;

    /// The revision that each subscribed peer has in force.
    std::map<host_id, revision> peer_revisions() const;

    /// True if every peer that has subscribed, over any link, has this revision
    /// or a newer one in force.
    bool is_in_force_at_all(revision number) const;

private:
    /// State of one link.
    struct peer_link
    {
        link::peer_identity peer;
        /// Revision in force at the peer, as last reported by it.
        revision revision_in_force = 0;
        /// Newest revision that was sent or announced to the peer.
        revision sent_revision = 0;
        /// Newest revision that the peer has announced or sent.
        revision reported_revision = 0;
        /// How the peer wants to receive newer revisions.
        link::delivery requested_delivery = link::delivery::announced;
        /// True once the peer has subscribed.
        bool subscribed = false;
    };

    using link_map = std::map<link::link_number, peer_link>;

    void on(link_opened const& event);
    void on(link_closed const& event);
    void on(subscription_received const& event);
    void on(announcement_received const& event);
    void on(update_received const& event);
    void on(leader_notice_received const& event);
    void on(group_news_received const& event);
    void on(revision_published const& event);
    void on(exchange_tick const& event);

    void install(revision number, shared_document document);
    void put_in_force(revision number, shared_document document,
                      std::optional<first_revision_choice> const& choice);
    void record_answer(link::link_number number);
    void hold(link::configuration_update const& update);
    void settle_first();
    void fetch_first(link_map::const_iterator newest);
    link_map::const_iterator newest_link() const;
    void notify(link::link_number number, peer_link& peer);
    void notify_all();
    void choose_pushing_link();
    void request_pushes(link::link_number number);
    void subscribe(link::link_number number);
    void subscribe_all();
    void record_report(link::link_number number, revision reported);
    bool is_missing_from(peer_link const& peer) const;
    bool is_missing_any() const;
    bool is_in_force_at(host_id const& host, revision number) const;
    void fetch_missing();
    link::link_number next_link_to_fetch_from();
    void send(link::link_number to, link::message content);

    exchange_settings settings;
    instant time;
    link_map links;
    revision current = 0;
    shared_document document;
    /// Engaged until the first revision is in force, if several answers are
    /// to be awaited.
    std::optional<first_revision> first;
    /// Newest revision received while `first` is engaged, 0 for none.
    revision held = 0;
    shared_document held_document;
    /// When no further answers were awaited any more.
    std::optional<instant> chosen_at;
    std::optional<link::link_number> pushing_link;
    /// When a missing revision was announced or last fetched.
    std::optional<instant> missing_since;
    /// Links that a missing revision was fetched from.
    std::set<link::link_number> fetched_from;
    instant refreshed_at;
    std::vector<exchange_effect> effects;
};

} // namespace bilberrylead::distribution

#endif
