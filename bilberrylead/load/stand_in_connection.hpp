#ifndef BILBERRYLEAD_LOAD_STAND_IN_CONNECTION_HPP
#define BILBERRYLEAD_LOAD_STAND_IN_CONNECTION_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/load/stand_in_upstream.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bilberrylead::load
{

/// One connection to a stand-in upstream. Owned by its own coroutine.
class stand_in_connection
    : public std::enable_shared_from_this<stand_in_connection>
{
public:
    /// Takes an accepted connection of an upstream that outlives it.
    stand_in_connection(boost::asio::ip::tcp::socket socket,
                        stand_in_upstream& owner);
    ~stand_in_connection();
    stand_in_connection(stand_in_connection const&) = delete;
    stand_in_connection& operator=(stand_in_connection const&) = delete;

    /// Answers requests until one side closes.
    boost::asio::awaitable<void> serve();

    /// Tells it that it holds the slot it waits for.
    void grant_slot();

    /// From now on nothing arrives and nothing leaves, as if something
    /// between the two ends had lost track of it.
    void go_silent();

private:
    using request_type =
        boost::beast::http::request<boost::beast::http::string_body>;

    using response_type =
        boost::beast::http::response<boost::beast::http::buffer_body>;
    using serializer_type = boost::beast::http::response_serializer<
        boost::beast::http::buffer_body>;

    struct answer
    {
        unsigned status = 200;
        bool not_run = false;
        bool close = false;
        answered_request belongs_to;
        std::uint64_t body_bytes = 0;
        std::uint64_t sent_bytes = 0;
        std::uint64_t bytes_per_s = 0;
    };

    boost::asio::awaitable<bool> handle(request_type const& request);
    boost::asio::awaitable<bool> handle_work(request_type const& request);
    boost::asio::awaitable<bool> run_work(request_type const& request,
                                          instant deadline);
    boost::asio::awaitable<bool> wait_for_slot(instant deadline);
    boost::asio::awaitable<bool> answer_work(request_type const& request,
                                             work_lot const& lot,
                                             bool download);
    boost::asio::awaitable<bool> write_text(request_type const& request,
                                            unsigned status,
                                            std::string_view body);
    boost::asio::awaitable<bool> write_refusal(request_type const& request,
                                               unsigned status, bool not_run);
    boost::asio::awaitable<bool> write_answer(request_type const& request,
                                              answer const& value);
    boost::asio::awaitable<bool> write_body(answer const& value,
                                            response_type& response,
                                            serializer_type& serializer);
    void fill_header(request_type const& request, answer const& value,
                     response_type& response) const;
    void add_load(boost::beast::http::fields& fields) const;
    boost::asio::awaitable<void> pause_until(instant until);
    boost::asio::awaitable<void> swallow();

    instant deadline_of(request_type const& request) const;
    bool is_cancelled() const;
    void watch_peer();
    void stop_watching();

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    boost::asio::steady_timer timer;
    stand_in_upstream* upstream;
    bool peer_gone = false;
    bool granted = false;
    bool silent = false;
};

} // namespace bilberrylead::load

#endif
