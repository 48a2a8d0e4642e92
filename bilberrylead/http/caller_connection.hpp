#ifndef BILBERRYLEAD_HTTP_CALLER_CONNECTION_HPP
#define BILBERRYLEAD_HTTP_CALLER_CONNECTION_HPP

#include "bilberrylead/entry/body_rules.hpp"
#include "bilberrylead/entry/event.hpp"
#include "bilberrylead/http/caller_request.hpp"
#include "bilberrylead/http/carried_request.hpp"
#include "bilberrylead/http/net.hpp"
#include "bilberrylead/http/request_window.hpp"
#include "bilberrylead/http/wake_signal.hpp"

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bilberrylead::http
{

class server_core;

/// One connection of a caller. Answers its requests in their order. While
/// one is unanswered, idempotent requests behind it are dispatched within
/// the window of the settings; any other waits until it is the first. Keeps
/// itself alive until the connection ends.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    /// Takes over an accepted socket.
    caller_connection(std::shared_ptr<server_core> owner, tcp_socket accepted);
    ~caller_connection();
    caller_connection(caller_connection const&) = delete;
    caller_connection& operator=(caller_connection const&) = delete;

    /// Serves the caller, in the background.
    void begin();

    /// Ends what takes too long.
    void expire(instant now);

    /// Closes it at once.
    void cut();

    /// True while a request has begun and its answer has not ended.
    bool busy() const
    {
        return this->serving || this->window.size() > 0;
    }

private:
    /// For pages of this host's own, which are no carried request.
    static constexpr std::string_view no_id{};

    /// What is wrong with a request's head.
    struct head_fault
    {
        beast::http::status status{};
        std::string_view title;
        std::string_view detail;
    };

    task<void> run();
    void end_by_exception();
    task<bool> serve_one();
    task<bool> serve_next();
    task<bool> wait_for_byte();
    task<bool> read_head();
    std::shared_ptr<caller_request> begin_request();
    static std::optional<head_fault> check_head(caller_request& request);
    bool is_page(caller_request const& request) const;
    task<bool> serve_page(std::shared_ptr<caller_request> request);
    static bool may_overlap(caller_request const& request, bool idempotent);
    void enqueue(std::shared_ptr<caller_request> request, bool idempotent);
    void dispatch_ahead();
    bool parse_ahead(caller_request& request);
    bool dispatch_next();
    entry::body_rules rules_for(caller_request& request,
                                entry::request_arrived& arrival);
    task<bool> carry(std::shared_ptr<caller_request> request,
                     entry::request_arrived arrival, entry::body_rules rules);
    bool fill_request(caller_request& request, entry::request_arrived& arrival,
                      entry::body_rules const& rules);
    void send_on(std::shared_ptr<caller_request> const& request,
                 entry::request_arrived arrival,
                 entry::body_rules const& rules);
    task<bool> read_body(std::shared_ptr<caller_request> request,
                         entry::body_rules const& rules);
    task<bool> read_piece(caller_request& request, std::span<char> piece,
                          std::size_t& count);
    task<std::size_t> read_some(request_parser& parser, std::span<char> piece,
                                error_code& error);
    task<std::size_t> read_rest(std::shared_ptr<caller_request> request,
                                std::span<char> piece, error_code& error);
    void note_rest_lost(caller_request& request, error_code error);
    task<void> end_rest();
    static void frame_request(caller_request& request);
    void take_reply(std::shared_ptr<caller_request> const& request);
    task<void> hold_answer(std::shared_ptr<caller_request> request,
                           std::shared_ptr<upstream_exchange> exchange);
    bool grow_held(caller_request& request, upstream_exchange& exchange);
    task<bool> answer_request(std::shared_ptr<caller_request> request);
    task<bool> await_reply(caller_request& request);
    task<bool> write_reply(caller_request& request);
    task<bool> stream_answer(caller_request& request,
                             std::shared_ptr<upstream_exchange> exchange);
    task<void> wait_for_turn(std::size_t passed, std::size_t count);
    void reset_on_close(bool resets);
    task<bool> write_whole(caller_request& request, whole_answer answer,
                           std::string_view id);
    task<bool> refuse(caller_request& request, beast::http::status status,
                      std::string_view title, std::string_view detail);
    task<bool> refuse_body(caller_request& request, error_code error);
    task<bool> refuse_rest(caller_request& request);
    task<bool> refuse_for_memory(caller_request& request);
    task<void> linger();
    bool begin_answer();
    void note_received();
    void start_watch();
    void check_unwatched();
    task<void> end_watch();
    void note_caller_gone();
    void abandon_requests();
    void set_limit(duration longest);
    void clear_limit();

    std::shared_ptr<server_core> core;
    tcp_socket socket;
    std::string address;
    beast::flat_buffer buffer;
    // Bytes from the watch, which must not be read into the buffer itself:
    // requests are taken out of the buffer meanwhile.
    std::array<char, 4096> arrived;
    wake_signal wake;
    instant give_up_at = instant::max();
    // Those in the window, in the same order.
    std::deque<std::shared_ptr<caller_request>> requests;
    request_window window;
    // The request behind them, as far as it has been read, or null.
    std::shared_ptr<caller_request> next;
    bool timed_out = false;
    bool watching = false;
    // True while the rest of a body is read for the exchange that passes it on.
    bool reading_rest = false;
    // True once the request that it belongs to has its answer.
    bool rest_unwanted = false;
    bool gone = false;
    bool serving = false;
};

} // namespace bilberrylead::http

#endif
