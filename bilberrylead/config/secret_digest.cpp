#include "bilberrylead/config/secret_digest.hpp"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <array>

namespace bilberrylead::config
{

std::string secret_digest(std::string_view secret)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<unsigned char const*>(secret.data()), secret.size(),
           hash.data());
    return fmt::format("#{:02x}{:02x}{:02x}", hash[0], hash[1], hash[2]);
}

} // namespace bilberrylead::config
