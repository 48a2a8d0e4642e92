#ifndef BILBERRYLEAD_DAEMON_ENTRY_PROGRAM_PARTS_HPP
#define BILBERRYLEAD_DAEMON_ENTRY_PROGRAM_PARTS_HPP

#include "bilberrylead/core/log.hpp"
#include "bilberrylead/core/process_seed.hpp"
#include "bilberrylead/daemon/admission_reporting.hpp"
#include "bilberrylead/daemon/entry_metrics.hpp"
#include "bilberrylead/daemon/entry_program.hpp"
#include "bilberrylead/daemon/peer_book.hpp"
#include "bilberrylead/daemon/settings_watch.hpp"
#include "bilberrylead/discovery/upstream_listing.hpp"
#include "bilberrylead/distribution/revision_exchange.hpp"
#include "bilberrylead/http/caller_server.hpp"
#include "bilberrylead/http/server_settings.hpp"
#include "bilberrylead/link/http_endpoint.hpp"
#include "bilberrylead/link/message.hpp"
#include "bilberrylead/link/peer_node.hpp"
#include "bilberrylead/link/peer_node_settings.hpp"
#include "bilberrylead/once_client/once_client.hpp"
#include "bilberrylead/policy/plan_order.hpp"
#include "bilberrylead/policy/recent_peak.hpp"
#include "bilberrylead/presence/control_link_plan.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <csignal>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// What the sources of this program share; for no others.
namespace bilberrylead::daemon
{

/// What the process holds while it runs.
struct entry_program::implementation
{
    implementation(config::entry_settings given,
                   settings_source<config::entry_settings> file,
                   entry_bindings outside);

    distribution::exchange_settings exchange_settings() const;
    once_client::once_client_settings claim_settings() const;
    http::server_settings server_settings() const;
    link::peer_node_settings peer_settings() const;
    link::peer_callbacks peer_callbacks();
    absl::Status listen();
    absl::Status listen_for_checks();
    void dial_peers();
    void link_control_hosts();
    void on_group(link::link_number number, link::group_news const& said);
    void on_listing(link::link_number number,
                    link::upstream_update const& said);
    void on_plan(link::region_plan const& said);
    void on_admission_plan(link::admission_shares const& shares);
    void add_admission_demand(link::link_number to,
                              link::entry_presence& presence);
    void tell_crashes(entry::send_crash_records const& wanted);
    void update_peer_contact();
    void tell_limits(entry::send_limits const& wanted);
    void log_leader_notice(link::link_number from, host_id const& reported);
    void on_leader(host_id const& reported);
    void send_customer_report(entry::send_customer_report const& effect);
    void on_contact_changed(entry::upstream_contact_changed const& changed);
    void tell_contact(link::link_number to);
    void on_relay_hosts(link::relay_host_list const& list);
    void start_heartbeats();
    void send_heartbeats_after(duration pause);
    void tell_presence(link::link_number to);
    void ask_for_listing();
    void reload();
    void on_connected(link::link_number number,
                      link::peer_identity const& peer);
    void on_message(link::link_number number, bytes const& said);
    void on_disconnected(link::link_number number);
    void on_effect_of_server(entry::effect const& wanted);
    void on_exchange(distribution::exchange_event const& what) noexcept;
    void on_claims(once_client::once_client_event const& what) noexcept;
    void install(distribution::install_revision const& wanted);
    void send(link::link_number to, link::message const& content);
    void start_ticking();
    void tell_changed_readiness();
    void wait_for_stop();

    config::entry_settings settings;
    settings_source<config::entry_settings> source;
    entry_bindings adapter;
    std::uint64_t incarnation;
    process_seed seed;
    boost::asio::io_context io{1};
    boost::asio::signal_set signals;
    boost::asio::steady_timer ticker;
    boost::asio::steady_timer heartbeat;
    settings_watch watch;
    distribution::revision_exchange exchange;
    once_client::once_client claims;
    std::optional<http::caller_server> server;
    std::optional<link::peer_node> peers;
    std::optional<peer_book> book;
    std::optional<link::http_endpoint> metrics_port;
    std::optional<link::http_endpoint> readiness_port;
    discovery::upstream_listing listing;
    std::map<link::link_number, entry::entry_hosts_counted> heard_entry_hosts;
    policy::recent_peak most_entry_hosts;
    policy::recent_peak most_in_a_region;
    presence::control_link_plan control_links;
    std::set<host_id> linked_control_hosts;
    bool links_seeds = false;
    instant listing_asked_at{};
    link::link_number last_asked = 0;
    policy::plan_order plans;
    admission_reporting admission_reports;
    host_id leader;
    bool told_ready = false;
    bool has_peer_contact = true;
    bool has_upstream_contact = true;
    bool stopping = false;
    entry_metrics metrics;
    std::map<link::link_number, link::peer_identity> links;
    std::map<link::link_number, host_id> reported_leaders;
};

} // namespace bilberrylead::daemon

#endif
