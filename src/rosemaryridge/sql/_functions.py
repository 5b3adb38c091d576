"""List pure built-in functions, session functions and words that resemble calls."""


def _parse_names(text: str) -> frozenset[str]:
    return frozenset(text.split())


PURE_FUNCTIONS = _parse_names(
    """
    abs acos acosd age array_agg array_append array_cat array_dims array_length
    array_lower array_ndims array_position array_positions array_prepend
    array_remove array_replace array_to_json array_to_string array_upper ascii asin
    asind atan atan2 atan2d atand avg bit_and bit_length bit_or bit_xor bool_and
    bool_or btrim cardinality cbrt ceil ceiling char_length character_length chr
    clock_timestamp coalesce concat concat_ws corr cos cosd cot count covar_pop
    covar_samp cume_dist current_database current_schema current_setting date
    date_bin date_part date_trunc decode degrees dense_rank div encode every exp
    extract first_value floor format format_type gcd generate_series
    generate_subscripts get_bit get_byte greatest grouping has_column_privilege
    has_database_privilege has_schema_privilege has_table_privilege initcap
    isfinite json_agg json_array_elements json_array_elements_text
    json_array_length json_build_array json_build_object json_each json_each_text
    json_extract_path json_extract_path_text json_object json_object_agg
    json_object_keys json_populate_record json_populate_recordset json_strip_nulls
    json_to_record json_to_recordset json_typeof jsonb_agg jsonb_array_elements
    jsonb_array_elements_text jsonb_array_length jsonb_build_array
    jsonb_build_object jsonb_each jsonb_each_text jsonb_extract_path
    jsonb_extract_path_text jsonb_insert jsonb_object jsonb_object_agg
    jsonb_object_keys jsonb_path_exists jsonb_path_match jsonb_path_query
    jsonb_path_query_array jsonb_path_query_first jsonb_populate_record
    jsonb_populate_recordset jsonb_pretty jsonb_set jsonb_strip_nulls
    jsonb_to_record jsonb_to_recordset jsonb_typeof justify_days justify_hours
    justify_interval lag last_value lcm lead least left length ln localtime
    localtimestamp log log10 lower lower_inc lower_inf lpad ltrim make_date
    make_interval make_time make_timestamp make_timestamptz max md5 min mod mode
    now nth_value ntile nullif num_nonnulls num_nulls numnode obj_description
    octet_length overlay percent_rank percentile_cont percentile_disc
    pg_backend_pid pg_encoding_to_char pg_sleep pg_get_constraintdef pg_get_expr
    pg_get_function_arguments pg_get_function_result pg_get_functiondef
    pg_get_indexdef pg_get_userbyid pg_get_viewdef pg_is_in_recovery pg_size_pretty
    pg_table_is_visible pg_table_size pg_total_relation_size
    pg_type_is_visible pg_typeof phraseto_tsquery pi plainto_tsquery position power
    quote_ident quote_literal quote_nullable radians random range_merge rank
    regexp_count regexp_instr regexp_like regexp_match regexp_matches
    regexp_replace regexp_split_to_array regexp_split_to_table regexp_substr
    regr_avgx regr_avgy regr_count regr_intercept regr_r2 regr_slope regr_sxx
    regr_sxy regr_syy repeat replace reverse right round row_number row_to_json rpad
    rtrim scale set_bit set_byte setweight sha224 sha256 sha384 sha512 shobj_description
    sign sin sind split_part sqrt starts_with statement_timestamp stddev stddev_pop
    stddev_samp string_agg string_to_array string_to_table strip strpos substr
    substring sum tan tand timeofday timezone to_ascii to_char to_date to_hex to_json
    to_jsonb to_number to_regclass to_regtype to_timestamp to_tsquery to_tsvector
    transaction_timestamp translate trim trim_array trim_scale trunc ts_headline
    ts_rank ts_rank_cd tsvector_to_array unnest upper upper_inc upper_inf var_pop
    var_samp variance version websearch_to_tsquery width_bucket
    xmlagg
    """
)

# Keywords and type names that may precede an opening parenthesis without a call.
GRAMMAR_WORDS = _parse_names(
    """
    all and any array as asc between bigint bit bpchar by case cast char character
    collate cross cube current_date current_time current_timestamp dec decimal desc
    distinct double else end except exists false fetch filter first float for from
    full group having ilike in inner int integer intersect interval is isnull join
    last lateral left like limit materialized natural next not notnull null nulls
    numeric offset on only or order ordinality outer over partition precision range
    real recursive returning right rollup row rows select sets similar smallint some
    symmetric table tablesample text then time timestamp timestamptz timetz to true
    union unique using values varbit varchar varying when where window with within
    without zone json jsonb uuid date bytea boolean bool int2 int4 int8 float4
    float8 name oid regclass regtype bernoulli system
    """
)

# Functions that leave state on the connection after the statement.
SESSION_FUNCTIONS = _parse_names(
    """
    pg_advisory_lock pg_advisory_lock_shared pg_advisory_unlock
    pg_advisory_unlock_all pg_advisory_unlock_shared pg_try_advisory_lock
    pg_try_advisory_lock_shared set_config setseed pg_notify
    """
)
