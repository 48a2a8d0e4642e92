#ifndef BILBERRYLEAD_TESTS_UNIT_HTTP_STEPPED_CALLER_HPP
#define BILBERRYLEAD_TESTS_UNIT_HTTP_STEPPED_CALLER_HPP

#include "bilberrylead/http/caller_connection.hpp"
#include "tests/unit/http/stepped_upstream.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberrylead::http
{

/// A caller at one end of a pair of sockets in memory: what one end has sent
/// is at once with the other one.
class stepped_caller
{
public:
    /// The caller's end, and the connection that holds the other one.
    stepped_caller(int own_end, std::weak_ptr<caller_connection> served)
        : connection(std::move(served)), descriptor(own_end)
    {
    }

    ~stepped_caller()
    {
        this->leave();
    }

    stepped_caller(stepped_caller const&) = delete;
    stepped_caller& operator=(stepped_caller const&) = delete;

    /// Sends bytes; false if not all of them fit.
    bool send(std::string_view text)
    {
        return ::send(this->descriptor, text.data(), text.size(),
                      MSG_DONTWAIT | MSG_NOSIGNAL) ==
               static_cast<ssize_t>(text.size());
    }

    /// Closes its end without reading what is left.
    void leave()
    {
        if (this->descriptor >= 0)
        {
            ::close(std::exchange(this->descriptor, -1));
        }
    }

    /// Takes in what has arrived; true if there was anything.
    bool step()
    {
        if (this->ended || not this->reads || this->descriptor < 0)
        {
            return false;
        }
        std::optional<std::string> const text = read_arrived(this->descriptor);
        this->ended = not text.has_value();
        this->unread += text.value_or(std::string());
        this->parse();
        return this->ended || not text->empty();
    }

    /// True if part of an answer has arrived and the rest has not.
    bool in_answer() const
    {
        return this->parser->got_some() || not this->unread.empty();
    }

    /// False: leaves everything in its socket.
    bool reads = true;
    /// Places of requests whose answers have no body.
    std::vector<bool> head_only;
    /// Whole answers, in the order in which they came.
    std::vector<answer_text> answers;
    /// True once the entry host has ended the connection.
    bool ended = false;
    /// What serves this caller, as long as it lives.
    std::weak_ptr<caller_connection> connection;

private:
    using answer_parser_type =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    void begin_answer()
    {
        std::size_t const place = this->answers.size();
        this->parser.emplace();
        this->parser->eager(true);
        this->parser->body_limit(boost::none);
        this->parser->skip(place < this->head_only.size() &&
                           this->head_only[place]);
    }

    void parse()
    {
        bool goes_on = true;
        while (goes_on && not this->unread.empty())
        {
            if (not this->parser->got_some())
            {
                this->begin_answer();
            }
            boost::system::error_code error;
            std::size_t const used =
                this->parser->put(boost::asio::buffer(this->unread), error);
            this->unread.erase(0, used);
            goes_on = used > 0 && not error;
            this->take_whole_answer();
        }
        if (this->ended && this->parser->got_some())
        {
            boost::system::error_code error;
            this->parser->put_eof(error);
            this->take_whole_answer();
        }
    }

    void take_whole_answer()
    {
        if (this->parser->is_done())
        {
            this->answers.push_back(this->parser->release());
            this->begin_answer();
        }
    }

    int descriptor;
    std::string unread;
    std::optional<answer_parser_type> parser{std::in_place};
};

} // namespace bilberrylead::http

#endif
