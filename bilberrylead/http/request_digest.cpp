#include "bilberrylead/http/request_digest.hpp"

#include "bilberrylead/http/carried_request.hpp"

#include <boost/beast/http/field.hpp>

#include <string>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bilberrylead::http
{

namespace
{

void append_line(std::string& text, std::string_view line)
{
    text.append(line);
    text.push_back('\n');
}

void append_head(std::string& text, carried_request const& carried)
{
    append_line(text, carried.message.method_string());
    append_line(text, carried.message.target());
}

std::uint64_t digest(std::string const& head, std::string const& body)
{
    XXH64_hash_t const seed = XXH3_64bits(head.data(), head.size());
    return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

} // namespace

std::uint64_t content_digest(carried_request const& carried)
{
    std::string head;
    append_head(head, carried);
    return digest(head, carried.kept);
}

std::uint64_t request_digest(carried_request const& carried,
                             std::string_view host, std::string_view account)
{
    std::string head;
    append_head(head, carried);
    append_line(head, host);
    append_line(head, account);
    if (!carried.complete)
    {
        append_line(head, carried.message[beast::http::field::content_length]);
    }
    return digest(head, carried.kept) | 1U;
}

} // namespace bilberrylead::http
