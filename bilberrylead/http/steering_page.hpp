#ifndef BILBERRYLEAD_HTTP_STEERING_PAGE_HPP
#define BILBERRYLEAD_HTTP_STEERING_PAGE_HPP

#include "bilberrylead/entry/entry_reducer.hpp"
#include "bilberrylead/http/net.hpp"

#include <string>
#include <string_view>

namespace bilberrylead::http
{

struct header_names;

/// Answers "which entry hosts should I use?" for the service that `query`
/// names (service=NAME), for a caller at that address.
whole_answer make_steering_page(entry::entry_reducer const& decisions,
                                std::string_view query,
                                std::string const& caller_address,
                                header_names const& names);

} // namespace bilberrylead::http

#endif
