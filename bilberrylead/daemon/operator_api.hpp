#ifndef BILBERRYLEAD_DAEMON_OPERATOR_API_HPP
#define BILBERRYLEAD_DAEMON_OPERATOR_API_HPP

#include "bilberrylead/config/operator_key.hpp"
#include "bilberrylead/control/operator_reply.hpp"
#include "bilberrylead/control/operator_request.hpp"
#include "bilberrylead/link/http_endpoint.hpp"

#include <absl/status/statusor.h>

#include <span>

namespace bilberrylead::daemon
{

/// Finds who sends a request, by the key in its Authorization header
/// (Bearer). Kind `not_trusted` for anybody else.
absl::StatusOr<std::string>
authenticate(link::http_request const& request,
             std::span<config::operator_key const> operators);

/// True if the request orders a new group to be founded.
bool is_founding_order(link::http_request const& request);

/// Reads what an operator asks for: method, path, query and body, checked
/// whole. A configuration that is not valid is refused here, before it
/// costs the log anything.
absl::StatusOr<control::operator_request>
read_operator_request(link::http_request const& request,
                      std::string const& operator_name);

/// The answer as JSON, with the status that fits it.
link::http_answer write_operator_reply(control::operator_reply const& reply);

} // namespace bilberrylead::daemon

#endif
