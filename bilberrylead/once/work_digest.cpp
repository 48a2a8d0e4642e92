#include "bilberrylead/once/work_digest.hpp"

#include <openssl/sha.h>

#include <algorithm>
#include <string>

namespace bilberrylead::once
{

namespace
{

/// Appends a part with its length as prefix, so that "ab" + "c" differs from
/// "a" + "bc".
void add_part(std::string const& part, std::string& input)
{
    std::uint64_t length = part.size();
    for (std::size_t i = 0; i < sizeof(length); ++i, length >>= 8U)
    {
        input.push_back(static_cast<char>(length & 0xFFU));
    }
    input += part;
}

work_digest digest_of(std::string const& input)
{
    std::array<std::uint8_t, SHA256_DIGEST_LENGTH> full{};
    ::SHA256(reinterpret_cast<unsigned char const*>(input.data()), input.size(),
             full.data());
    work_digest digest;
    std::copy_n(full.begin(), work_digest::size, digest.content.begin());
    return digest;
}

} // namespace

work_digest work_digest::of(claim_key const& key)
{
    std::string input;
    add_part(key.service.text(), input);
    add_part(key.caller.text(), input);
    add_part(key.idempotency_key, input);
    return digest_of(input);
}

work_digest work_digest::of(request_id const& request)
{
    return digest_of(request.text());
}

} // namespace bilberrylead::once
