#ifndef BILBERRYLEAD_HTTP_CALLER_CONNECTION_HPP
#define BILBERRYLEAD_HTTP_CALLER_CONNECTION_HPP

#include "bilberrylead/entry/body_rules.hpp"
#include "bilberrylead/entry/event.hpp"
#include "bilberrylead/http/carried_request.hpp"
#include "bilberrylead/http/net.hpp"
#include "bilberrylead/http/wake_signal.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bilberrylead::http
{

class server_core;

/// One connection of a caller. Takes one request after the other and
/// answers each before it looks at the next, so pipelined requests are
/// answered in order. Keeps itself alive until the connection ends.
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
        return this->serving;
    }

private:
    /// For pages of this host's own, which are no carried request.
    static constexpr std::string_view no_id{};

    task<void> run();
    task<bool> serve_one();
    task<bool> wait_for_byte();
    task<bool> read_head();
    task<bool> serve_page(std::string_view target);
    task<bool> carry();
    bool fill_request(carried_request& carried, entry::request_arrived& arrival,
                      entry::body_rules const& rules);
    task<bool> read_body(carried_request& carried,
                         entry::body_rules const& rules);
    task<bool> read_piece(std::span<char> piece, std::size_t& count);
    task<std::size_t> read_rest(std::span<char> piece, error_code& error);
    void frame_request(carried_request& carried);
    task<bool> await_reply(carried_request& carried);
    task<bool> write_reply(carried_request& carried);
    task<bool> stream_answer(carried_request& carried,
                             std::shared_ptr<upstream_exchange> exchange);
    task<void> wait_for_turn(std::size_t passed, std::size_t count);
    task<bool> write_whole(whole_answer answer, std::string_view id);
    task<bool> refuse(beast::http::status status, std::string_view title,
                      std::string_view detail);
    task<bool> refuse_body(error_code error);
    task<bool> refuse_for_memory(carried_request& carried);
    task<void> linger();
    bool keeps_alive() const;
    void start_watch();
    task<void> end_watch();
    void note_caller_gone();
    bool take_memory(std::size_t count);
    void give_memory_back();
    void set_limit(duration longest);
    void clear_limit();

    std::shared_ptr<server_core> core;
    tcp_socket socket;
    std::string address;
    beast::flat_buffer buffer;
    std::optional<request_parser> parser;
    wake_signal wake;
    instant give_up_at = instant::max();
    std::size_t memory_held = 0;
    // The request under way, until its caller needs nothing more.
    std::shared_ptr<carried_request> current;
    unsigned version = 11;
    bool head_only = false;
    bool caller_keeps_alive = false;
    bool timed_out = false;
    bool watching = false;
    bool gone = false;
    bool serving = false;
};

} // namespace bilberrylead::http

#endif
