#include "bilberrylead/config/parse_configuration.hpp"

#include "bilberrylead/config/configuration_fields.hpp"
#include "bilberrylead/config/error_list.hpp"
#include "bilberrylead/config/field_reader.hpp"
#include "bilberrylead/config/field_writer.hpp"
#include "bilberrylead/config/json_text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <tuple>
#include <utility>

namespace bilberrylead::config
{

namespace
{

constexpr int indent_width = 2;

template <class Element, class Key>
void sort_list(std::vector<Element>& list, Key key)
{
    std::sort(list.begin(), list.end(),
              [key](Element const& left, Element const& right)
              {
                  return std::invoke(key, left) < std::invoke(key, right);
              });
}

} // namespace

void sort_by_name(configuration& value)
{
    sort_list(value.services, &service::id);
    sort_list(value.places, &place::zone);
    sort_list(value.links,
              [](region_link const& link)
              {
                  return std::tie(link.from, link.to);
              });
    sort_list(value.entry_hosts, &entry_host::id);
    sort_list(value.upstreams, &upstream::id);
    sort_list(value.selectors, &selector::name);
    sort_list(value.callers, &caller_block::block);
    sort_list(value.customers, &customer::id);
    sort_list(value.request_routes,
              [](request_route const& route)
              {
                  return std::tie(route.host, route.path_prefix);
              });
}

absl::StatusOr<configuration> parse_configuration(std::string_view text,
                                                  std::string_view source_name)
{
    error_list errors(source_name);
    std::optional<nlohmann::json> const json = parse_json(text, errors);
    if (!json.has_value())
    {
        return errors.status();
    }
    configuration result;
    field_reader reader(*json, "", errors);
    visit_fields(reader, result);
    reader.finish();
    if (!errors.empty())
    {
        return errors.status();
    }
    sort_by_name(result);
    return result;
}

std::string render_configuration(configuration const& value)
{
    configuration sorted = value;
    sort_by_name(sorted);
    nlohmann::ordered_json json;
    field_writer writer(json);
    visit_fields(writer, std::as_const(sorted));
    return json.dump(indent_width, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace) +
           "\n";
}

} // namespace bilberrylead::config
