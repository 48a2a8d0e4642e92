#ifndef BILBERRYLEAD_HTTP_HEADER_RULES_HPP
#define BILBERRYLEAD_HTTP_HEADER_RULES_HPP

#include "bilberrylead/http/net.hpp"

#include <boost/beast/http/fields.hpp>

#include <string_view>

namespace bilberrylead::http
{

struct header_names;

/// The final answer's kind: done, not-run or unknown.
inline constexpr std::string_view outcome_header = "Bilberry-Outcome";
/// Set to 1 in an answer from a record that holds the status only.
inline constexpr std::string_view body_dropped_header = "Bilberry-Body-Dropped";

/// Removes the headers that speak of one connection only, and those that
/// Connection names.
void strip_connection_headers(beast::http::fields& fields);

/// Removes the headers that are between upstreams and this system.
void strip_upstream_headers(beast::http::fields& fields,
                            header_names const& names);

} // namespace bilberrylead::http

#endif
