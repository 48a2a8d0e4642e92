#ifndef BILBERRYLEAD_LINK_BOUNDED_PARSER_HPP
#define BILBERRYLEAD_LINK_BOUNDED_PARSER_HPP

#include "bilberrylead/core/read_limits.hpp"

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>

namespace bilberrylead::link
{

/// A parser of Beast that bounds the fields of a message. A message beyond a
/// bound fails with `header_limit`.
///
/// Failure it handles: Beast applies its limit of heads to heads only, and the
/// container of fields throws on a name or value that it cannot hold. The
/// exception would pass through the event loop.
///
/// Fields behind a body are dropped, so that they cannot be taken for fields of
/// the head.
template <class Parser>
class bounded_parser : public Parser
{
private:
    void on_field_impl(boost::beast::http::field name,
                       boost::beast::string_view name_text,
                       boost::beast::string_view value,
                       boost::beast::error_code& error) override
    {
        bool const is_trailer = this->is_header_done();
        if (is_trailer)
        {
            this->trailer_bytes +=
                name_text.size() + value.size() + bytes_around_field;
        }
        if (name_text.size() > max_field_part_bytes ||
            value.size() > max_field_part_bytes ||
            this->trailer_bytes > max_trailer_bytes)
        {
            error = boost::beast::http::error::header_limit;
            return;
        }
        if (!is_trailer)
        {
            this->get().insert(name, name_text, value);
        }
    }

    /// The colon and blank behind a name, and the end of the line.
    static constexpr std::size_t bytes_around_field = 4;

    std::size_t trailer_bytes = 0;
};

/// Reads a request with that body.
template <class Body>
using request_parser = bounded_parser<boost::beast::http::request_parser<Body>>;

/// Reads an answer with that body.
template <class Body>
using response_parser =
    bounded_parser<boost::beast::http::response_parser<Body>>;

} // namespace bilberrylead::link

#endif
