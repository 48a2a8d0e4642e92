#ifndef BILBERRYLEAD_DAEMON_CONTROL_PROGRAM_PARTS_HPP
#define BILBERRYLEAD_DAEMON_CONTROL_PROGRAM_PARTS_HPP

#include "bilberrylead/control/control_reducer.hpp"
#include "bilberrylead/core/error.hpp"
#include "bilberrylead/core/log.hpp"
#include "bilberrylead/daemon/batch_times.hpp"
#include "bilberrylead/daemon/control_metrics.hpp"
#include "bilberrylead/daemon/control_program.hpp"
#include "bilberrylead/daemon/control_store.hpp"
#include "bilberrylead/daemon/group_log.hpp"
#include "bilberrylead/daemon/message_memory.hpp"
#include "bilberrylead/daemon/operator_api.hpp"
#include "bilberrylead/daemon/peer_book.hpp"
#include "bilberrylead/daemon/settings_watch.hpp"
#include "bilberrylead/link/http_caller.hpp"
#include "bilberrylead/link/http_endpoint.hpp"
#include "bilberrylead/link/peer_node.hpp"
#include "bilberrylead/link/peer_node_settings.hpp"
#include "bilberrylead/link/update_encoder.hpp"
#include "bilberrylead/presence/name_regions.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// What the sources of this program share; for no others.
namespace bilberrylead::daemon
{

/// An operator's call until it is answered.
struct open_operator_call
{
    link::http_request request;
    link::http_endpoint::answer_function answer;
};

/// What the process holds while it runs.
struct control_program::implementation
{
    implementation(config::control_settings given,
                   settings_source<config::control_settings> file,
                   control_bindings outside);

    absl::Status open();
    void make_reducer();
    absl::Status listen();
    absl::Status listen_outside();
    bool forms_itself() const;
    bool founds_group() const;
    void take(control::control_event event);
    void flush() noexcept;
    void wait_for_disk();
    bool reopen();
    void refuse_open_calls();
    template <class Effect>
    void write_effect(Effect const& wanted);
    duration& time_of(control::control_effect const& effect);
    void carry_out(control::control_effect const& effect);
    void write(absl::Status const& written);
    void answer(control::answer_operator const& effect);
    void serve_operator(link::http_request const& request,
                        link::http_endpoint::answer_function answer);
    void serve_caller(link::http_request const& request,
                      link::http_endpoint::answer_function const& answer);
    void read_name_regions(bytes const& document);
    std::optional<config::endpoint> leader_port(host_id const& leader) const;
    void call_list(discovery::page_call const& call);
    absl::StatusOr<discovery::list_page>
    page_of(absl::StatusOr<link::http_result> const& result) const;
    void found(link::http_endpoint::answer_function const& answer);
    agreement::started founding(std::vector<host_id> const& founders) const;
    void start_reducer(agreement::started found);
    void recall(control::control_started& event) const;
    void remember();
    void start_ticking();
    void reload();
    void wait_for_stop();
    void stop_when_handed_over(instant deadline);
    link::peer_node_settings peer_settings() const;
    link::peer_callbacks peer_callbacks();

    config::control_settings settings;
    settings_source<config::control_settings> source;
    control_bindings adapter;
    boost::asio::io_context io{1};
    boost::asio::signal_set signals;
    boost::asio::steady_timer ticker;
    boost::asio::steady_timer stopper;
    boost::asio::steady_timer disk_timer;
    settings_watch watch;
    std::optional<control_store> store;
    std::optional<control::control_reducer> reducer;
    std::optional<link::peer_node> peers;
    link::update_encoder encoder;
    std::optional<peer_book> book;
    std::optional<link::http_endpoint> operators;
    std::optional<link::http_endpoint> steering;
    // By zone, and whether the calls are second ones.
    std::map<std::pair<zone_id, bool>, link::http_caller> lists;
    std::optional<link::http_endpoint> metrics_port;
    control_metrics metrics;
    group_log group;
    // Nothing before the first revision.
    std::optional<presence::name_regions> regions_of_names;
    std::optional<message_memory> listing_memory;
    std::optional<message_memory> plan_memory;
    std::optional<link::region_plan> told_plan;
    std::vector<control::control_event> pending;
    batch_times batch;
    bool flush_is_due = false;
    bool disk_failed = false;
    std::uint64_t last_request = 0;
    std::map<std::uint64_t, open_operator_call> waiting;
    std::map<link::link_number, link::peer_identity> links;
    absl::Status ended_by;
};

} // namespace bilberrylead::daemon

#endif
