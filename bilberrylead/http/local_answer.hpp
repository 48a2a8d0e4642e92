#ifndef BILBERRYLEAD_HTTP_LOCAL_ANSWER_HPP
#define BILBERRYLEAD_HTTP_LOCAL_ANSWER_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/entry/effect.hpp"
#include "bilberrylead/http/net.hpp"

#include <string>
#include <string_view>

namespace bilberrylead::http
{

struct header_names;

/// A final answer that says the request was not run, with when to return.
whole_answer make_answer(entry::answer_not_run const& decision,
                         header_names const& names);

/// A final answer that says nobody can tell whether it ran.
whole_answer make_answer(entry::answer_unknown const& decision,
                         header_names const& names);

/// A final answer that refuses the request for what it is.
whole_answer make_answer(entry::answer_problem const& decision,
                         header_names const& names);

/// A final answer from a record, or from a collected answer.
whole_answer make_answer(once::recorded_answer const& record);

/// Refuses what is no request that can be carried. `title` is a short
/// sentence, `detail` names the remedy.
whole_answer make_refusal(beast::http::status status, std::string_view title,
                          std::string_view detail);

/// Answers a request the rest of whose body cannot be read, after a part has
/// been passed on.
whole_answer make_body_problem(beast::http::status status);

/// A JSON page of this host's own.
whole_answer make_page(beast::http::status status, std::string body);

} // namespace bilberrylead::http

#endif
