#include "proxy/document_rules.h"

namespace camphorrail::proxy {

namespace {

using mirror::document_version;

std::optional<document_version> read_config_version(const ports::platform_codec& codec,
                                                    const std::string& value) {
    const auto read = codec.parse_config(value);
    return read.has_value() ? std::optional(document_version{0, read.value().version})
                            : std::nullopt;
}

std::optional<document_version> read_target_version(const ports::platform_codec& codec,
                                                    const std::string& value) {
    const auto read = codec.parse_target_weights(value);
    return read.has_value() ? std::optional(document_version{0, read.value().version})
                            : std::nullopt;
}

std::optional<document_version> read_upstream_version(const ports::platform_codec& codec,
                                                      const std::string& key,
                                                      const std::string& value) {
    const auto read = codec.parse_upstream(key, value);
    if (!read.has_value()) {
        return std::nullopt;
    }
    return document_version{read.value().incarnation.value, read.value().heartbeats};
}

} // namespace

mirror::document_rules make_document_rules(const ports::platform_codec& codec) {
    mirror::document_rules rules;
    rules.is_operators = [&codec](const std::string& key) {
        return key == codec.operators_config_key || key.starts_with(codec.target_weights_prefix);
    };
    rules.read_version = [&codec](const std::string& key,
                                  const std::string& value) -> std::optional<document_version> {
        if (key == codec.operators_config_key) {
            return read_config_version(codec, value);
        }
        if (key.starts_with(codec.target_weights_prefix)) {
            return read_target_version(codec, value);
        }
        if (key.starts_with(codec.upstreams_prefix)) {
            return read_upstream_version(codec, key, value);
        }
        return std::nullopt;
    };
    return rules;
}

} // namespace camphorrail::proxy
