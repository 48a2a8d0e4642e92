#ifndef BILBERRYLEAD_HTTP_SERVER_CORE_HPP
#define BILBERRYLEAD_HTTP_SERVER_CORE_HPP

#include "bilberrylead/entry/effect.hpp"
#include "bilberrylead/entry/entry_reducer.hpp"
#include "bilberrylead/entry/event.hpp"
#include "bilberrylead/http/carried_request.hpp"
#include "bilberrylead/http/http_counters.hpp"
#include "bilberrylead/http/net.hpp"
#include "bilberrylead/http/server_settings.hpp"
#include "bilberrylead/http/upstream_exchange.hpp"
#include "bilberrylead/http/upstream_pool.hpp"
#include "bilberrylead/policy/bulk_pacer.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace bilberrylead::http
{

class caller_connection;

/// Feeds the reducer and carries out what it says. Owned by every
/// connection and by the server, one thread only.
class server_core : public std::enable_shared_from_this<server_core>
{
public:
    /// Takes the effects that other parts carry out.
    using outside_sink = std::function<void(entry::effect const&)>;

    /// Prepares a core that has nothing to do yet.
    server_core(executor const& place, server_settings chosen,
                process_seed const& seed, outside_sink sink);

    /// What ends the taking of new connections, for a planned stop.
    void set_stop_accepting(std::function<void()> stop)
    {
        this->stop_accepting = std::move(stop);
    }

    /// Starts the clock. Call once.
    void begin();

    /// Ends every connection and the clock at once.
    void stop();

    /// Hands an event to the reducer and carries out the effects. From
    /// within an effect the event waits until the others are carried out. An
    /// exception in a decision leaves the shared state unknown: the process
    /// ends.
    void dispatch(entry::event happened) noexcept;

    /// A new request, with a number and an id.
    std::shared_ptr<carried_request> make_request();

    /// The request's caller needs nothing more.
    void leave(entry::request_number number);

    /// Takes memory for a body; false if there is none left.
    bool reserve(std::size_t count);

    /// True if that much may be taken for work ahead of unanswered requests,
    /// which leaves half of the memory to those that are first: callers that
    /// pipeline and do not read must not take it from the others.
    bool has_memory_ahead(std::size_t count) const
    {
        return this->counted.memory_in_use + count <= this->chosen.memory / 2;
    }

    /// Gives memory back.
    void unreserve(std::size_t count);

    /// Keeps track of a caller's connection; false if there are too many.
    bool enter(caller_connection& connection);

    /// Forgets it.
    void forget(caller_connection& connection);

    /// True if answers end their connections.
    bool closing() const
    {
        return this->close_after_answer;
    }

    /// The decisions.
    entry::entry_reducer& decisions()
    {
        return this->reducer;
    }

    /// What callers may send: by the configuration in force, if that says
    /// so, else by the settings.
    config::caller_limits caller_limits() const;

    /// What it was made with.
    server_settings const& settings() const
    {
        return this->chosen;
    }

    /// Paces long answers.
    policy::bulk_pacer& pace()
    {
        return this->answer_pace;
    }

    /// What this side counts.
    http_counters& counters()
    {
        return this->counted;
    }

    /// Where everything runs.
    executor place() const
    {
        return this->where;
    }

private:
    void run_clock();
    void sweep(instant now);
    void carry_out(entry::effect const& decided);
    void answer(entry::request_number number, http::reply decided);
    void start(entry::start_upstream const& order);
    void probe(entry::probe_upstream const& wanted);
    void release_if_over(entry::request_number number);
    bool is_sampled(std::string const& id) const;
    void log_sent(entry::limited_request_sent const& sent);
    void log_end(entry::request_ended const& end);
    void end_drain();
    void close_idle_callers();
    carried_request* find(entry::request_number number);
    std::string id_of(entry::request_number number);

    executor where;
    server_settings chosen;
    outside_sink outside;
    std::function<void()> stop_accepting;
    bool taking_callers = true;
    http_counters counted;
    entry::entry_reducer reducer;
    upstream_pool pool;
    policy::bulk_pacer answer_pace;
    event_sink report;
    send_check may_send;
    wait_timer clock;
    std::uint64_t ticks = 0;
    std::uint64_t last_number = 0;
    std::deque<entry::event> queue;
    bool dispatching = false;
    bool stopped = false;
    bool close_after_answer = false;
    bool drain_ended = false;
    std::unordered_map<entry::request_number, std::shared_ptr<carried_request>>
        carried;
    std::unordered_set<caller_connection*> connections;
};

} // namespace bilberrylead::http

#endif
