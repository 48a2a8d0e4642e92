#include "review/stand_ins_2/sockets.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <cstdlib>
#include <thread>
#include <utility>
#include <vector>

namespace bilberrylead::review
{

namespace
{

constexpr std::size_t piece_size = 65536;
constexpr int backlog = 256;

sockaddr_in to_socket_address(address const& at)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(at.port);
    ::inet_pton(AF_INET, at.ip.c_str(), &result.sin_addr);
    return result;
}

bool wait_for(int descriptor, short events, clock::time_point until)
{
    while (true)
    {
        auto const left = std::chrono::duration_cast<milliseconds>(
            until - clock::now() + milliseconds(1));
        if (left.count() <= 0)
        {
            return false;
        }
        pollfd waited{descriptor, events, 0};
        int const ready = ::poll(
            &waited, 1,
            static_cast<int>(std::min<std::int64_t>(left.count(), 60'000)));
        if (ready > 0)
        {
            return true;
        }
    }
}

std::string lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter)
                   {
                       return static_cast<char>(std::tolower(letter));
                   });
    return result;
}

std::string trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    {
        text.remove_suffix(1);
    }
    return std::string(text);
}

/// Reads the first line and the headers of a head.
http_message parse_head(std::string_view head)
{
    http_message message;
    std::size_t place = head.find("\r\n");
    message.start = std::string(head.substr(0, place));
    while (place != std::string_view::npos)
    {
        head.remove_prefix(place + 2);
        place = head.find("\r\n");
        std::string_view const line = head.substr(0, place);
        std::size_t const colon = line.find(':');
        if (colon != std::string_view::npos)
        {
            message.headers[lower(line.substr(0, colon))] =
                trimmed(line.substr(colon + 1));
        }
    }
    return message;
}

} // namespace

std::string address::text() const
{
    return this->ip + ":" + std::to_string(this->port);
}

address address::parse(std::string_view text)
{
    std::size_t const colon = text.rfind(':');
    return {std::string(text.substr(0, colon)),
            static_cast<std::uint16_t>(
                std::atoi(std::string(text.substr(colon + 1)).c_str()))};
}

std::string http_message::header(std::string const& name) const
{
    auto const found = this->headers.find(lower(name));
    return found == this->headers.end() ? std::string() : found->second;
}

unsigned http_message::status() const
{
    std::size_t const space = this->start.find(' ');
    return space == std::string::npos
               ? 0
               : static_cast<unsigned>(
                     std::atoi(this->start.substr(space + 1).c_str()));
}

std::string http_message::method() const
{
    return this->start.substr(0, this->start.find(' '));
}

std::string http_message::target() const
{
    std::size_t const first = this->start.find(' ');
    std::size_t const second = this->start.find(' ', first + 1);
    return this->start.substr(first + 1, second - first - 1);
}

connection::connection(int descriptor) : descriptor(descriptor)
{
    int const on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

connection::~connection()
{
    this->close();
}

std::unique_ptr<connection> connection::open(address const& to,
                                             milliseconds longest)
{
    int const made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::fcntl(made, F_SETFL, O_NONBLOCK);
    sockaddr_in const peer = to_socket_address(to);
    int const begun =
        ::connect(made, reinterpret_cast<sockaddr const*>(&peer), sizeof(peer));
    int fault = 0;
    socklen_t size = sizeof(fault);
    bool const opened =
        begun == 0 ||
        (errno == EINPROGRESS &&
         wait_for(made, POLLOUT, clock::now() + longest) &&
         ::getsockopt(made, SOL_SOCKET, SO_ERROR, &fault, &size) == 0 &&
         fault == 0);
    if (!opened)
    {
        ::close(made);
        return nullptr;
    }
    return std::make_unique<connection>(made);
}

bool connection::send(std::string_view text)
{
    clock::time_point const until = clock::now() + std::chrono::seconds(10);
    while (!text.empty())
    {
        ssize_t const count = ::send(this->descriptor, text.data(), text.size(),
                                     MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0)
        {
            text.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        if ((errno != EAGAIN && errno != EINTR) ||
            !wait_for(this->descriptor, POLLOUT, until))
        {
            return false;
        }
    }
    return true;
}

/// False if nothing more came in time; `ended` tells that nothing will.
bool connection::read_more(clock::time_point until, bool& ended)
{
    std::array<char, piece_size> piece{};
    if (!wait_for(this->descriptor, POLLIN, until))
    {
        return false;
    }
    ssize_t const count =
        ::recv(this->descriptor, piece.data(), piece.size(), MSG_DONTWAIT);
    if (count > 0)
    {
        this->buffer.append(piece.data(), static_cast<std::size_t>(count));
        return true;
    }
    ended = count == 0 || (errno != EAGAIN && errno != EINTR);
    return !ended;
}

read_end connection::read(http_message& message, clock::time_point until)
{
    bool ended = false;
    auto const failed = [this, &ended]
    {
        if (!ended)
        {
            return read_end::late;
        }
        return this->buffer.empty() ? read_end::closed : read_end::broken;
    };
    std::size_t end = this->buffer.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!this->read_more(until, ended))
        {
            return failed();
        }
        end = this->buffer.find("\r\n\r\n");
    }
    message = parse_head(std::string_view(this->buffer).substr(0, end + 2));
    std::size_t place = end + 4;
    if (lower(message.header("transfer-encoding")) == "chunked")
    {
        std::size_t length = 1;
        while (length > 0)
        {
            std::size_t line = this->buffer.find("\r\n", place);
            while (line == std::string::npos)
            {
                if (!this->read_more(until, ended))
                {
                    return failed();
                }
                line = this->buffer.find("\r\n", place);
            }
            length = std::strtoul(this->buffer.c_str() + place, nullptr, 16);
            place = line + 2;
            while (this->buffer.size() < place + length + 2)
            {
                if (!this->read_more(until, ended))
                {
                    return failed();
                }
            }
            message.body.append(this->buffer, place, length);
            place += length + 2;
        }
        this->buffer.erase(0, place);
        return read_end::whole;
    }
    std::size_t const length =
        std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    while (this->buffer.size() < place + length)
    {
        if (!this->read_more(until, ended))
        {
            return failed();
        }
    }
    message.body = this->buffer.substr(place, length);
    this->buffer.erase(0, place + length);
    return read_end::whole;
}

bool connection::wait_for_bytes(clock::time_point until)
{
    bool ended = false;
    while (this->buffer.empty() && this->read_more(until, ended))
    {
    }
    return !this->buffer.empty();
}

bool connection::wait_for_close(clock::time_point until)
{
    bool ended = false;
    while (this->read_more(until, ended))
    {
        this->buffer.clear();
    }
    return ended;
}

void connection::close()
{
    if (this->descriptor >= 0)
    {
        ::close(std::exchange(this->descriptor, -1));
    }
}

void connection::abort()
{
    linger const at_once{1, 0};
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once,
                 sizeof(at_once));
    ::shutdown(this->descriptor, SHUT_RDWR);
}

/// What the listener and its threads share; threads outlive nothing else.
struct listener::shared
{
    handler serve;
    int descriptor = -1;
    std::atomic<bool> ended{false};
    std::thread accepting;
};

listener::listener(address const& at, handler serve)
    : state(std::make_shared<shared>())
{
    this->state->serve = std::move(serve);
    int const made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in const own = to_socket_address(at);
    if (::bind(made, reinterpret_cast<sockaddr const*>(&own), sizeof(own)) !=
            0 ||
        ::listen(made, backlog) != 0)
    {
        // The case cannot run.
        std::_Exit(2);
    }
    this->state->descriptor = made;
    this->state->accepting = std::thread(
        [held = this->state]
        {
            while (!held->ended)
            {
                if (!wait_for(held->descriptor, POLLIN,
                              clock::now() + milliseconds(100)))
                {
                    continue;
                }
                int const taken =
                    ::accept4(held->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
                if (taken >= 0)
                {
                    std::thread(
                        [held, taken]
                        {
                            connection served(taken);
                            held->serve(served);
                        })
                        .detach();
                }
            }
        });
}

listener::~listener()
{
    this->state->ended = true;
    this->state->accepting.join();
    ::close(this->state->descriptor);
}

address listener::where() const
{
    sockaddr_in own{};
    socklen_t size = sizeof(own);
    ::getsockname(this->state->descriptor, reinterpret_cast<sockaddr*>(&own),
                  &size);
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &own.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(own.sin_port)};
}

bool is_free(address const& at)
{
    int const made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in const own = to_socket_address(at);
    bool const bound =
        ::bind(made, reinterpret_cast<sockaddr const*>(&own), sizeof(own)) == 0;
    ::close(made);
    return bound;
}

std::string to_text(std::string const& start,
                    std::map<std::string, std::string> const& headers,
                    std::string_view body)
{
    std::string text = start + "\r\n";
    for (auto const& [name, value] : headers)
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
    return text;
}

std::optional<http_message> call(address const& to, std::string const& method,
                                 std::string const& target,
                                 std::string_view body, milliseconds longest)
{
    clock::time_point const until = clock::now() + longest;
    std::unique_ptr<connection> const opened = connection::open(to, longest);
    http_message answer;
    if (opened == nullptr ||
        !opened->send(to_text(method + " " + target + " HTTP/1.1",
                              {{"Host", to.text()},
                               {"Content-Type", "application/json"},
                               {"Connection", "close"}},
                              body)) ||
        opened->read(answer, until) != read_end::whole)
    {
        return std::nullopt;
    }
    return answer;
}

} // namespace bilberrylead::review
