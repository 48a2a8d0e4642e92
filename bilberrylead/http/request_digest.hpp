#ifndef BILBERRYLEAD_HTTP_REQUEST_DIGEST_HPP
#define BILBERRYLEAD_HTTP_REQUEST_DIGEST_HPP

#include <cstdint>
#include <string_view>

namespace bilberrylead::http
{

struct carried_request;

/// Digest of method, target and kept body.
std::uint64_t content_digest(carried_request const& carried);

/// Digest of what stays the same when a request is sent again: host, method,
/// target, the account that the caller names, and body. The caller's address
/// is left out: the same request comes again from other ones. Of a body that
/// is not kept whole its beginning and its length, if that is known, stand
/// for it. Never 0.
std::uint64_t request_digest(carried_request const& carried,
                             std::string_view host, std::string_view account);

} // namespace bilberrylead::http

#endif
