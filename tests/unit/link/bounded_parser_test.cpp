#include "bilberrylead/core/read_limits.hpp"
#include "bilberrylead/link/bounded_parser.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

using namespace bilberrylead;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr std::uint64_t seeds = 400;
constexpr std::uint32_t large_head = std::uint32_t{256} << 10U;
/// Colon, blank and end of the line.
constexpr std::size_t around_field = 4;

/// Sizes around each bound that a reader of messages has.
constexpr std::array<std::size_t, 14> sizes = {
    1,      100,    4095,   4096,   4097,   32'758,  32'768,
    65'532, 65'533, 65'534, 65'535, 65'536, 131'072, 70'000};

/// A message around the bounds of its fields, and whether these hold.
struct generated_message
{
    std::string text;
    bool is_within_bounds = true;
};

class message_generator
{
public:
    explicit message_generator(std::uint64_t seed) : random(seed)
    {
    }

    generated_message make(std::string const& first_line)
    {
        generated_message made;
        made.text = first_line + "Transfer-Encoding: chunked\r\n";
        if (this->coin())
        {
            this->add_field(made);
        }
        made.text += "\r\n3" + this->extension() + "\r\nown\r\n0" +
                     this->extension() + "\r\n";
        std::size_t trailer = 0;
        std::size_t const fields = this->below(4);
        for (std::size_t place = 0; place < fields; ++place)
        {
            trailer += this->add_field(made);
        }
        made.is_within_bounds =
            made.is_within_bounds && trailer <= max_trailer_bytes;
        made.text += "\r\n";
        return made;
    }

    std::size_t below(std::size_t bound)
    {
        return this->random() % bound;
    }

private:
    bool coin()
    {
        return this->below(2) == 0;
    }

    std::string extension()
    {
        return this->coin() ? ";x=" + std::string(this->size(), 'e') : "";
    }

    std::size_t size()
    {
        return sizes.at(this->below(sizes.size()));
    }

    std::size_t add_field(generated_message& made)
    {
        bool const long_name = this->coin();
        std::string const name(long_name ? this->size() : 6, 'n');
        std::string const value(long_name ? 6 : this->size(), 'v');
        made.text += name + ": " + value + "\r\n";
        made.is_within_bounds = made.is_within_bounds &&
                                name.size() <= max_field_part_bytes &&
                                value.size() <= max_field_part_bytes;
        return name.size() + value.size() + around_field;
    }

    std::mt19937_64 random;
};

/// Gives a parser the text in pieces and returns whether it was accepted.
template <class Parser>
bool is_accepted(Parser& parser, std::string const& text, std::size_t piece)
{
    parser.header_limit(large_head);
    parser.eager(true);
    boost::beast::flat_buffer buffer;
    std::size_t sent = 0;
    boost::system::error_code error;
    while (!parser.is_done() && sent < text.size())
    {
        std::size_t const count = std::min(piece, text.size() - sent);
        buffer.commit(asio::buffer_copy(
            buffer.prepare(count), asio::buffer(text.data() + sent, count)));
        sent += count;
        buffer.consume(parser.put(buffer.data(), error));
        if (error && error != http::error::need_more)
        {
            return false;
        }
    }
    return parser.is_done();
}

template <class Parser>
void check(std::string const& first_line)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        message_generator generator(seed);
        generated_message const message = generator.make(first_line);
        std::array<std::size_t, 3> const pieces = {message.text.size(), 4096,
                                                   1 + generator.below(70'000)};
        for (std::size_t const piece : pieces)
        {
            Parser parser;
            cr_expect_eq(is_accepted(parser, message.text, piece),
                         message.is_within_bounds, "seed %zu, pieces of %zu",
                         static_cast<std::size_t>(seed), piece);
        }
    }
}

} // namespace

// Guards against a field that the library cannot hold and that ends the process
// by an exception.
Test(bounded_parser, answer_around_each_bound_is_read_or_refused)
{
    check<link::response_parser<http::string_body>>("HTTP/1.1 200 OK\r\n");
}

// Guards against the same by a request.
Test(bounded_parser, request_around_each_bound_is_read_or_refused)
{
    check<link::request_parser<http::string_body>>(
        "POST / HTTP/1.1\r\nHost: h\r\n");
}

// Guards against a field behind a body that stands for one of the head.
Test(bounded_parser, field_behind_a_body_is_none_of_the_head)
{
    link::request_parser<http::string_body> parser;
    cr_assert(is_accepted(parser,
                          "POST / HTTP/1.1\r\nHost: h\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n"
                          "3\r\nown\r\n0\r\nX-Caller: another\r\n\r\n",
                          4096));
    cr_expect_eq(parser.get().count("X-Caller"), 0U);
    cr_expect(parser.get().body() == "own");
}
