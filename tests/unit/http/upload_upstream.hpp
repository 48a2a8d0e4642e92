#ifndef BILBERRYLEAD_TESTS_UNIT_HTTP_UPLOAD_UPSTREAM_HPP
#define BILBERRYLEAD_TESTS_UNIT_HTTP_UPLOAD_UPSTREAM_HPP

#include "tests/unit/http/http_fixture.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <thread>

namespace bilberrylead::http
{

/// Length of an upload: above `server_settings::kept_body`, so that a part is
/// passed on before the rest has come.
constexpr std::size_t upload_size = 200'000;
/// What a caller has sent of it when its trouble begins.
constexpr std::size_t upload_part = 100'000;

/// When the upstream answers an upload.
enum class answer_time
{
    /// Once it has read the whole body.
    after_body,
    /// Once it has read the head; it reads on.
    after_head,
    /// Once it has read the head; it then closes the connection.
    before_close,
    /// Twice, once it has read the whole body.
    twice,
    /// Never.
    never,
};

/// The bytes of body `number` from `place` on; each body has its own.
inline std::string upload_bytes(int number, std::size_t place,
                                std::size_t count)
{
    std::string bytes(count, '\0');
    for (std::size_t each = 0; each < count; ++each)
    {
        std::size_t const at = place + each;
        bytes[each] = static_cast<char>(
            'a' + (static_cast<std::size_t>(number) * 7 + at + at / 977) % 26);
    }
    return bytes;
}

/// Head of upload `number`, with the headers that frame its body.
inline std::string upload_head(int number, answer_time when,
                               std::string const& framing)
{
    return fmt::format("POST /s/{0} HTTP/1.1\r\nHost: h\r\nX-Upload: {0}\r\n"
                       "X-Answer: {1}\r\n{2}\r\n\r\n",
                       number, static_cast<int>(when), framing);
}

/// Head of an upload of `size` bytes.
inline std::string measured_head(int number, answer_time when,
                                 std::size_t size = upload_size)
{
    return upload_head(number, when, fmt::format("Content-Length: {}", size));
}

/// Head of an upload in chunks.
inline std::string chunked_head(int number, answer_time when)
{
    return upload_head(number, when, "Transfer-Encoding: chunked");
}

/// One chunk of body `number`.
inline std::string upload_chunk(int number, std::size_t place,
                                std::size_t count)
{
    return fmt::format("{:x}\r\n{}\r\n", count,
                       upload_bytes(number, place, count));
}

/// Serves uploads and checks that each byte it gets is one of the request that
/// is due on that connection.
class upload_upstream
{
public:
    /// What has come so far.
    struct counts
    {
        /// Heads of uploads.
        int begun = 0;
        /// Number of the newest upload.
        int newest = 0;
        /// Uploads that came whole.
        int whole = 0;
        /// Uploads whose connection ended before their body was whole.
        int cut = 0;
        /// Connections on which other bytes came than the due ones.
        int foreign = 0;
        /// Connections that ended while an answer was due.
        int left = 0;
        /// Connections that the upstream closed.
        int closed = 0;
    };

    std::uint16_t port() const
    {
        return this->served.port();
    }

    /// Connections taken so far.
    int connections() const
    {
        return this->served.connections;
    }

    counts seen()
    {
        std::lock_guard const lock(this->mutex);
        return this->counted;
    }

    /// Waits until so many of a kind have come; false if they do not.
    bool await(int counts::* kind, int number = 1)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, 20s,
                                      [this, kind, number]
                                      {
                                          return this->counted.*kind >= number;
                                      });
    }

private:
    using head_parser =
        boost::beast::http::request_parser<boost::beast::http::buffer_body>;
    using error_code = boost::system::error_code;

    static bool is_end(error_code const& error)
    {
        return error == boost::beast::http::error::end_of_stream ||
               error == boost::beast::http::error::partial_message ||
               error.category() == boost::asio::error::get_system_category();
    }

    void serve(wire& connection)
    {
        bool goes_on = true;
        while (goes_on)
        {
            head_parser parser;
            parser.body_limit(boost::none);
            error_code error;
            boost::beast::http::read_header(connection.socket,
                                            connection.buffer, parser, error);
            if (error && !is_end(error))
            {
                this->count(&counts::foreign);
            }
            goes_on = !error && this->serve_one(connection, parser);
        }
    }

    bool serve_one(wire& connection, head_parser& parser)
    {
        int const number = std::stoi(std::string(parser.get()["X-Upload"]));
        this->count(&counts::begun, number);
        answer_time const when = static_cast<answer_time>(
            std::stoi(std::string(parser.get()["X-Answer"])));
        std::string const answer = whole_answer_text(
            std::to_string(number),
            fmt::format("Bilberry-Request-Id: {}\r\n",
                        std::string(parser.get()["Bilberry-Request-Id"])));
        if (when == answer_time::after_head ||
            when == answer_time::before_close)
        {
            connection.send(answer);
        }
        if (when == answer_time::before_close)
        {
            // Only bytes that it has not read make the close a reset.
            error_code error;
            while (connection.socket.available(error) == 0 && !error)
            {
                std::this_thread::sleep_for(1ms);
            }
            connection.socket.close(error);
            this->count(&counts::closed);
            return false;
        }
        bool const whole = this->read_body(connection, parser, number);
        if (when == answer_time::never)
        {
            connection.closed();
            this->count(&counts::left);
        }
        if (whole &&
            (when == answer_time::after_body || when == answer_time::twice))
        {
            connection.send(answer);
        }
        if (whole && when == answer_time::twice)
        {
            connection.send(answer);
        }
        return whole;
    }

    bool read_body(wire& connection, head_parser& parser, int number)
    {
        std::array<char, 4096> piece{};
        std::size_t place = 0;
        error_code error;
        bool own = true;
        while (own && !error && !parser.is_done())
        {
            parser.get().body().data = piece.data();
            parser.get().body().size = piece.size();
            boost::beast::http::read_some(connection.socket, connection.buffer,
                                          parser, error);
            if (error == boost::beast::http::error::need_buffer)
            {
                error = {};
            }
            std::size_t const count = piece.size() - parser.get().body().size;
            own = std::string_view(piece.data(), count) ==
                  upload_bytes(number, place, count);
            place += count;
        }
        bool const whole = own && !error;
        this->count(whole                  ? &counts::whole
                    : own && is_end(error) ? &counts::cut
                                           : &counts::foreign);
        return whole;
    }

    void count(int counts::* kind, int number = 0)
    {
        std::lock_guard const lock(this->mutex);
        ++(this->counted.*kind);
        this->counted.newest = std::max(this->counted.newest, number);
        this->changed.notify_all();
    }

    std::mutex mutex;
    std::condition_variable changed;
    counts counted;
    // Its threads use the members above.
    fake_upstream served{[this](wire& connection, int)
                         {
                             this->serve(connection);
                         }};
};

} // namespace bilberrylead::http

#endif
