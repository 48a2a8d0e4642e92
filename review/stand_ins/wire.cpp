#include "review/stand_ins/wire.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <memory>
#include <sstream>
#include <thread>

namespace bilberrylead::review
{

namespace
{

constexpr int most_waiting = 128;
constexpr std::size_t piece = 65536;
constexpr std::chrono::milliseconds default_patience{30000};

sockaddr_in to_address(std::string const& address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

int listen_at(std::string const& address, std::uint16_t port)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const yes = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in where = to_address(address, port);
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&where),
               sizeof(where)) != 0 ||
        ::listen(descriptor, most_waiting) != 0)
    {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

void set_times(int descriptor, std::chrono::milliseconds patience)
{
    timeval limit{};
    limit.tv_sec = patience.count() / 1000;
    limit.tv_usec = (patience.count() % 1000) * 1000;
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

} // namespace

std::string http_head::field(std::string const& name) const
{
    auto const found = this->fields.find(name);
    return found == this->fields.end() ? std::string() : found->second;
}

std::size_t http_head::body_length() const
{
    return std::strtoul(this->field("content-length").c_str(), nullptr, 10);
}

std::string http_head::second_word() const
{
    std::istringstream words(this->first_line);
    std::string first;
    std::string second;
    words >> first >> second;
    return second;
}

connection::connection(int socket) : descriptor(socket)
{
    set_times(this->descriptor, default_patience);
}

connection::~connection()
{
    ::close(this->descriptor);
}

std::unique_ptr<connection> connection::open(std::string const& address,
                                             std::uint16_t port,
                                             std::chrono::milliseconds patience)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    set_times(descriptor, patience);
    sockaddr_in where = to_address(address, port);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&where),
                  sizeof(where)) != 0)
    {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor);
}

void connection::set_patience(std::chrono::milliseconds patience)
{
    set_times(this->descriptor, patience);
}

bool connection::send(std::string const& text)
{
    std::size_t sent = 0;
    while (sent < text.size())
    {
        ssize_t const count = ::send(this->descriptor, text.data() + sent,
                                     text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::fill()
{
    std::array<char, piece> bytes{};
    ssize_t count = -1;
    do
    {
        count = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
    } while (count < 0 && errno == EINTR);
    if (count <= 0)
    {
        return false;
    }
    this->buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<http_head> connection::read_head()
{
    std::size_t end = this->buffer.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!this->fill())
        {
            return std::nullopt;
        }
        end = this->buffer.find("\r\n\r\n");
    }
    std::istringstream lines(this->buffer.substr(0, end));
    this->buffer.erase(0, end + 4);
    http_head head;
    std::string line;
    while (std::getline(lines, line))
    {
        if (!line.empty() && line.back() == '\r')
        {
            line.pop_back();
        }
        std::size_t const colon = line.find(':');
        if (head.first_line.empty())
        {
            head.first_line = line;
        }
        else if (colon != std::string::npos)
        {
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char letter)
                           {
                               return static_cast<char>(std::tolower(letter));
                           });
            std::size_t const start = line.find_first_not_of(' ', colon + 1);
            head.fields[name] =
                start == std::string::npos ? "" : line.substr(start);
        }
    }
    return head;
}

std::string connection::read(std::size_t count)
{
    while (this->buffer.size() < count && this->fill())
    {
    }
    std::string const bytes = this->buffer.substr(0, count);
    this->buffer.erase(0, bytes.size());
    return bytes;
}

bool listen_in_background(std::string const& address, std::uint16_t port,
                          serve_function const& serve)
{
    int const descriptor = listen_at(address, port);
    if (descriptor < 0)
    {
        return false;
    }
    std::thread(
        [descriptor, serve]
        {
            for (;;)
            {
                int const taken =
                    ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
                if (taken >= 0)
                {
                    std::thread(
                        [taken, serve]
                        {
                            connection caller(taken);
                            serve(caller);
                        })
                        .detach();
                }
            }
        })
        .detach();
    return true;
}

bool is_free(std::string const& address, std::uint16_t port)
{
    int const descriptor = listen_at(address, port);
    if (descriptor >= 0)
    {
        ::close(descriptor);
    }
    return descriptor >= 0;
}

http_result read_result(connection& from)
{
    http_result result;
    std::optional<http_head> const head = from.read_head();
    if (!head.has_value())
    {
        return result;
    }
    result.head = *head;
    result.body = from.read(head->body_length());
    if (result.body.size() == head->body_length())
    {
        result.status = std::atoi(head->second_word().c_str());
    }
    return result;
}

http_result call(std::string const& address, std::uint16_t port,
                 std::string const& request, std::chrono::milliseconds patience)
{
    std::unique_ptr<connection> const to =
        connection::open(address, port, patience);
    if (to == nullptr || !to->send(request))
    {
        return {};
    }
    return read_result(*to);
}

} // namespace bilberrylead::review
