#ifndef BILBERRYLEAD_REVIEW_STAND_INS_2_SOCKETS_HPP
#define BILBERRYLEAD_REVIEW_STAND_INS_2_SOCKETS_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bilberrylead::review
{

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// An IPv4 loopback address and a port.
struct address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const;
    static address parse(std::string_view text);
};

/// A request or an answer in HTTP/1.1, whole. Names are in lower case.
struct http_message
{
    /// The first line.
    std::string start;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(std::string const& name) const;
    /// Status of an answer; 0 if the first line has none.
    unsigned status() const;
    std::string method() const;
    std::string target() const;
};

/// How reading a message ended.
enum class read_end
{
    whole,
    /// Nothing came, and the other side closed or reset the connection.
    closed,
    /// The other side ended the connection in the middle of the message.
    broken,
    late,
};

/// One TCP connection, used by one thread at a time.
class connection
{
public:
    explicit connection(int descriptor);
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    static std::unique_ptr<connection> open(address const& to,
                                            milliseconds longest);

    bool send(std::string_view text);
    read_end read(http_message& message, clock::time_point until);
    /// Waits until some bytes of a message have come; true if they have.
    bool wait_for_bytes(clock::time_point until);
    /// Waits until the other side closes, at most until then; true if it did.
    bool wait_for_close(clock::time_point until);
    void close();
    /// Ends the connection as a process that crashes does; from any thread.
    void abort();

private:
    bool read_more(clock::time_point until, bool& ended);

    int descriptor;
    std::string buffer;
};

/// Listens on one address and serves each connection on a thread of its own.
class listener
{
public:
    using handler = std::function<void(connection&)>;

    listener(address const& at, handler serve);
    ~listener();
    listener(listener const&) = delete;
    listener& operator=(listener const&) = delete;

    address where() const;

private:
    struct shared;
    std::shared_ptr<shared> state;
};

/// True if nothing listens on the port on any address of this machine.
bool is_free(address const& at);

/// Request or answer as text, with the length of the body.
std::string to_text(std::string const& start,
                    std::map<std::string, std::string> const& headers,
                    std::string_view body);

/// One call on a connection of its own; nothing if no answer came in time.
std::optional<http_message> call(address const& to, std::string const& method,
                                 std::string const& target,
                                 std::string_view body, milliseconds longest);

} // namespace bilberrylead::review

#endif
