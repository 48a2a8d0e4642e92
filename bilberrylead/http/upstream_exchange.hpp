#ifndef BILBERRYLEAD_HTTP_UPSTREAM_EXCHANGE_HPP
#define BILBERRYLEAD_HTTP_UPSTREAM_EXCHANGE_HPP

#include "bilberrylead/entry/effect.hpp"
#include "bilberrylead/entry/event.hpp"
#include "bilberrylead/http/carried_request.hpp"
#include "bilberrylead/http/net.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>

namespace bilberrylead::http
{

class upstream_pool;
struct header_names;
struct upstream_connection;

/// Takes the events that an exchange reports.
using event_sink = std::function<void(entry::event)>;

/// True if a request may still be sent as ordered.
using send_check = std::function<bool(entry::start_upstream const&)>;

/// One request sent to one upstream over one connection, and its answer.
/// Ends in exactly one of: answer finished, failed (both reported) or
/// cancelled (not reported). Unless the request was written and the answer
/// read to their ends, the connection is closed and never used again.
class upstream_exchange : public std::enable_shared_from_this<upstream_exchange>
{
public:
    /// Prepares an exchange; `pool`, `report`, `may_send` and `names` must
    /// outlive it.
    upstream_exchange(executor const& place, upstream_pool& pool,
                      event_sink const& report, send_check const& may_send,
                      header_names const& names,
                      std::shared_ptr<carried_request> request,
                      entry::start_upstream order);
    ~upstream_exchange();
    upstream_exchange(upstream_exchange const&) = delete;
    upstream_exchange& operator=(upstream_exchange const&) = delete;

    /// Connects, sends and reads the answer's head, in the background.
    void begin();

    /// Reads the answer's body whole in the background and reports it.
    /// After the head was reported, instead of `read_some`.
    void collect(std::size_t largest_answer, std::size_t largest_record);

    /// Ends it without a report. Closing the connection is how HTTP/1.1
    /// passes a cancellation on.
    void cancel();

    /// Fails it if it has made no progress for too long.
    void expire(instant now);

    /// True once it has ended, in whatever way.
    bool ended() const
    {
        return this->over;
    }

    /// True if another entry host answers, in this system's own terms.
    bool is_with_entry_host() const
    {
        return this->order.to_entry_host;
    }

    /// The answer's head. After the head was reported.
    answer_parser& answer()
    {
        return *this->parser;
    }

    /// Reads more of the body. 0 bytes and no error is its whole end, which
    /// has been reported by then, as has an error.
    task<std::size_t> read_some(std::span<char> piece, error_code& error);

private:
    task<void> run();
    void end_by_exception();
    task<bool> connect();
    bool withdraw();
    task<bool> send();
    task<void> send_message();
    task<bool> read_head();
    task<bool> read_one_head();
    task<bool> skip_answer();
    bool has_usable_status() const;
    bool answers_another() const;
    bool is_genuine() const;
    bool has_known_coding() const;
    bool says_not_run() const;
    void report_signals(bool misdirected);
    void add_rest(entry::upstream_signals_received& signals) const;
    void add_limit(entry::upstream_signals_received& signals) const;
    task<void> report_head();
    void start_answer(entry::upstream_head_received const& head);
    task<void> collect_body(std::size_t largest_answer,
                            std::size_t largest_record);
    void prepare_message();
    void address_upstream(request_message& message) const;
    void address_entry_host(request_message& message) const;
    bool is_reusable() const;
    bool can_end() const;
    void check_end(error_code& error) const;
    void finish();
    entry::exchange_fault fault_of(error_code const& error) const;
    void fail(entry::exchange_fault fault);
    void note_silence();
    void close();

    executor where;
    upstream_pool& pool;
    event_sink const& report;
    send_check const& may_send;
    header_names const& names;
    std::shared_ptr<carried_request> request;
    entry::start_upstream order;
    std::unique_ptr<upstream_connection> connection;
    std::optional<answer_parser> parser;
    instant began{};
    instant give_up_at = instant::max();
    entry::exchange_phase phase = entry::exchange_phase::not_sent;
    // True once the request has been written to its end.
    bool request_sent = false;
    // True while the upstream can do nothing before the caller sends more.
    bool awaits_caller = false;
    bool timed_out = false;
    bool over = false;
};

} // namespace bilberrylead::http

#endif
