#include "validate.hpp"

#include <set>

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace fuchsiaproxy::settings
{
namespace
{

using nlohmann::json;

// Converts valijson's context ("<root>", "[listen]", "[port]") into a list of keys.
std::vector<std::string> keys_of(std::vector<std::string> const& context)
{
    std::vector<std::string> keys;
    for (auto const& it : context)
    {
        if (it.size() > 2 && it.front() == '[')
        {
            keys.push_back(it.substr(1, it.size() - 2));
        }
    }
    return keys;
}

std::string pointer_of(std::vector<std::string> const& keys)
{
    std::string pointer;
    for (auto const& it : keys)
    {
        pointer += "/" + it;
    }
    return pointer.empty() ? "/" : pointer;
}

// Returns the subschema at `keys`, or null for a key that the schema does not define.
json const* subschema_at(json const& schema, std::vector<std::string> const& keys)
{
    json const* at = &schema;
    for (auto const& key : keys)
    {
        at = &resolve_reference(*at, schema);
        if (!at->contains("properties") || !at->at("properties").contains(key))
        {
            return nullptr;
        }
        at = &at->at("properties").at(key);
    }
    return &resolve_reference(*at, schema);
}

// Adds an error for each unknown and each missing key in `document`, with the path of that key.
void add_key_errors(json const& document, json const& subschema, json const& root,
                    std::string const& pointer, std::set<std::string>& errors)
{
    auto const& schema = resolve_reference(subschema, root);
    if (!document.is_object() || !schema.contains("properties"))
    {
        return;
    }
    auto const& properties = schema.at("properties");
    for (auto const& it : document.items())
    {
        if (!properties.contains(it.key()))
        {
            errors.insert(pointer + "/" + it.key() + ": unknown setting");
            continue;
        }
        add_key_errors(it.value(), properties.at(it.key()), root, pointer + "/" + it.key(), errors);
    }
    for (auto const& it : schema.value("required", json::array()))
    {
        auto const key = it.get<std::string>();
        if (!document.contains(key))
        {
            auto const& missing = resolve_reference(properties.at(key), root);
            errors.insert(pointer + "/" + key + ": missing, expected " +
                          describe_expectation(missing));
        }
    }
}

json const* value_at(json const& document, std::vector<std::string> const& keys)
{
    json const* at = &document;
    for (auto const& key : keys)
    {
        if (!at->is_object() || !at->contains(key))
        {
            return nullptr;
        }
        at = &at->at(key);
    }
    return at;
}

} // namespace

json const& resolve_reference(json const& schema, json const& root)
{
    if (!schema.contains("$ref"))
    {
        return schema;
    }
    // The schema refers only to its own definitions: "#/definitions/name".
    return root.at(json::json_pointer(schema.at("$ref").get<std::string>().substr(1)));
}

std::string describe_expectation(json const& schema)
{
    auto const type = schema.value("type", std::string("value"));
    if (schema.contains("enum"))
    {
        return "one of " + schema.at("enum").dump();
    }
    std::string text = type == "integer" || type == "object" ? "an " + type : "a " + type;
    if (schema.contains("minimum"))
    {
        text += " from " + schema.at("minimum").dump();
    }
    if (schema.contains("maximum"))
    {
        text += " to " + schema.at("maximum").dump();
    }
    if (schema.contains("pattern"))
    {
        text += " that matches " + schema.at("pattern").get<std::string>();
    }
    if (schema.contains("minLength"))
    {
        text += " of at least " + schema.at("minLength").dump() + " characters";
    }
    return text;
}

std::vector<std::string> validation_errors(json const& document, json const& schema)
{
    valijson::Schema compiled;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema), compiled);
    valijson::Validator validator;
    valijson::ValidationResults results;
    validator.validate(compiled, valijson::adapters::NlohmannJsonAdapter(document), &results);

    std::set<std::string> errors;
    add_key_errors(document, schema, schema, "", errors);
    valijson::ValidationResults::Error validation_error;
    while (results.popError(validation_error))
    {
        auto const keys = keys_of(validation_error.context);
        auto const* const expected = subschema_at(schema, keys);
        auto const* const value = value_at(document, keys);
        bool const is_container = value != nullptr && value->is_object() && expected != nullptr &&
                                  expected->value("type", std::string()) == "object";
        // valijson reports unknown and missing keys on the object that contains them; they were
        // added above with the path of the key itself.
        if (expected != nullptr && value != nullptr && !is_container)
        {
            errors.insert(pointer_of(keys) + ": expected " + describe_expectation(*expected) +
                          ", found " + value->dump());
        }
    }
    return {errors.begin(), errors.end()};
}

} // namespace fuchsiaproxy::settings
