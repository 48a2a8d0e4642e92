#ifndef BILBERRYLEAD_HTTP_REQUEST_DIGEST_HPP
#define BILBERRYLEAD_HTTP_REQUEST_DIGEST_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>
#include <string_view>

namespace bilberrylead::http
{

struct carried_request;

/// Digest of method, target and kept body.
std::uint64_t content_digest(carried_request const& carried);

/// Digest of what stays the same when a caller sends a request again: host,
/// method, target, caller and body. Of a body that is not kept whole its
/// beginning and its length, if that is known, stand for it. Never 0.
std::uint64_t request_digest(carried_request const& carried,
                             std::string_view host, caller_id const& caller);

} // namespace bilberrylead::http

#endif
