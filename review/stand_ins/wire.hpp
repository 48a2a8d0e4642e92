#ifndef BILBERRYLEAD_REVIEW_STAND_INS_WIRE_HPP
#define BILBERRYLEAD_REVIEW_STAND_INS_WIRE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

/// Blocking HTTP/1.1 over sockets on loopback addresses, as small as the
/// stand-ins need it.
namespace bilberrylead::review
{

/// The head of a request or an answer.
struct http_head
{
    /// The request line or the status line.
    std::string first_line;
    /// Header fields; their names are in lower case.
    std::map<std::string, std::string> fields;

    /// Value of a field; empty if there is none.
    std::string field(std::string const& name) const;

    /// Length of the body by Content-Length.
    std::size_t body_length() const;

    /// The second word of the first line: a path or a status.
    std::string second_word() const;
};

/// One connection.
class connection
{
public:
    /// Takes over an open socket.
    explicit connection(int socket);
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    /// Connects; null if that fails or takes longer.
    static std::unique_ptr<connection> open(std::string const& address,
                                            std::uint16_t port,
                                            std::chrono::milliseconds patience);

    /// Longest wait for bytes.
    void set_patience(std::chrono::milliseconds patience);

    /// Sends all of it; false if the other side is gone.
    bool send(std::string const& text);

    /// Reads a head; nothing if the connection ends before, or time does.
    std::optional<http_head> read_head();

    /// Reads so many bytes; fewer if the connection ends before, or time does.
    std::string read(std::size_t count);

private:
    bool fill();

    int descriptor;
    std::string buffer;
};

/// Serves one connection until it ends.
using serve_function = std::function<void(connection&)>;

/// Listens in the background for as long as the process runs, with a thread
/// for each connection. False if the address is taken.
bool listen_in_background(std::string const& address, std::uint16_t port,
                          serve_function const& serve);

/// True if nobody listens at this address.
bool is_free(std::string const& address, std::uint16_t port);

/// An answer; status 0 if there was none.
struct http_result
{
    int status = 0;
    http_head head;
    std::string body;
};

/// Reads an answer with a Content-Length.
http_result read_result(connection& from);

/// One call on a new connection.
http_result call(std::string const& address, std::uint16_t port,
                 std::string const& request,
                 std::chrono::milliseconds patience);

} // namespace bilberrylead::review

#endif
