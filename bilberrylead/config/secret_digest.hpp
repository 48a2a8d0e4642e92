#ifndef BILBERRYLEAD_CONFIG_SECRET_DIGEST_HPP
#define BILBERRYLEAD_CONFIG_SECRET_DIGEST_HPP

#include <string>
#include <string_view>

namespace bilberrylead::config
{

/// Short name of a secret for reports: equal for equal secrets, and of too few
/// bits to find the secret by.
std::string secret_digest(std::string_view secret);

} // namespace bilberrylead::config

#endif
