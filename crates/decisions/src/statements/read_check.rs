use std::ops::ControlFlow;

use sqlparser::ast::{
    Expr, ObjectName, Query, Select, SetExpr, Statement, TableFactor, Visit, Visitor,
};

/// Functions without side effects.
const PURE_FUNCTIONS: &[&str] = &[
    "abs",
    "array_agg",
    "avg",
    "bool_and",
    "bool_or",
    "ceil",
    "char_length",
    "coalesce",
    "concat",
    "count",
    "current_date",
    "current_timestamp",
    "date_part",
    "date_trunc",
    "dense_rank",
    "floor",
    "greatest",
    "json_agg",
    "jsonb_agg",
    "lag",
    "lead",
    "least",
    "left",
    "length",
    "lower",
    "ltrim",
    "max",
    "min",
    "mod",
    "now",
    "nullif",
    "rank",
    "replace",
    "right",
    "round",
    "row_number",
    "rtrim",
    "split_part",
    "string_agg",
    "substr",
    "substring",
    "sum",
    "to_char",
    "trim",
    "upper",
];

/// True if nothing in the statement can change data or take a lock. Unknown
/// functions count as changing data.
pub(super) fn is_read(statement: &Statement) -> bool {
    statement.visit(&mut WriteFinder).is_continue()
}

/// Visitor that stops at the first construct that may change data or take a lock.
struct WriteFinder;

impl WriteFinder {
    fn check_function(name: &ObjectName) -> ControlFlow<()> {
        let name = name.to_string().to_lowercase();
        if PURE_FUNCTIONS.contains(&name.as_str()) {
            ControlFlow::Continue(())
        } else {
            ControlFlow::Break(())
        }
    }
}

impl Visitor for WriteFinder {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let writes = matches!(
            *query.body,
            SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_)
        );
        if writes || !query.locks.is_empty() {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        if select.into.is_some() {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table { args: None, .. }
            | TableFactor::Derived { .. }
            | TableFactor::NestedJoin { .. } => ControlFlow::Continue(()),
            _ => ControlFlow::Break(()),
        }
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) => Self::check_function(&function.name),
            _ => ControlFlow::Continue(()),
        }
    }

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        match statement {
            Statement::Query(_) | Statement::Explain { .. } => ControlFlow::Continue(()),
            _ => ControlFlow::Break(()),
        }
    }
}
