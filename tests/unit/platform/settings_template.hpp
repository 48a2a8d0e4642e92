#ifndef BILBERRYLEAD_TESTS_UNIT_PLATFORM_SETTINGS_TEMPLATE_HPP
#define BILBERRYLEAD_TESTS_UNIT_PLATFORM_SETTINGS_TEMPLATE_HPP

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace bilberrylead::tests
{

/// Fills in a settings template as the platform's pages describe it: values,
/// sections over lists and tables, inverted sections, `{{.}}`, `{{@}}` and
/// `{{,}}`.
std::string render_template(std::string_view text,
                            nlohmann::json const& fields);

} // namespace bilberrylead::tests

#endif
