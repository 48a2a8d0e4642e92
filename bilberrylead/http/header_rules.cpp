#include "bilberrylead/http/header_rules.hpp"

#include "bilberrylead/http/header_names.hpp"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <array>
#include <string>
#include <vector>

namespace bilberrylead::http
{

namespace
{

using beast::http::field;

constexpr std::array<field, 8> connection_headers = {
    field::connection,         field::keep_alive, field::proxy_connection,
    field::proxy_authenticate, field::te,         field::trailer,
    field::transfer_encoding,  field::upgrade};

} // namespace

void strip_connection_headers(beast::http::fields& fields)
{
    std::vector<std::string> named;
    auto const range = fields.equal_range(field::connection);
    for (auto place = range.first; place != range.second; ++place)
    {
        for (beast::string_view const token :
             beast::http::token_list(place->value()))
        {
            named.emplace_back(token);
        }
    }
    for (std::string const& name : named)
    {
        // A sender must not have the frame of the body removed.
        if (!beast::iequals(name, "content-length"))
        {
            fields.erase(name);
        }
    }
    for (field const name : connection_headers)
    {
        fields.erase(name);
    }
}

void strip_upstream_headers(beast::http::fields& fields,
                            header_names const& names)
{
    for (std::string const* const name :
         {&names.not_run, &names.deadline, &names.expected_upstream,
          &names.load, &names.customer_key, &names.customer, &names.relayed,
          &names.relayed_regions, &names.relayed_revision})
    {
        if (!name->empty())
        {
            fields.erase(*name);
        }
    }
    for (std::string const& name : names.leaving)
    {
        fields.erase(name);
    }
    fields.erase(outcome_header);
}

} // namespace bilberrylead::http
