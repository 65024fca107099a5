package store

import (
	"context"
	"maps"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Key attributes of the table, both strings.
const (
	partitionKey = "pk"
	sortKey      = "sk"
)

// row is an item of the table.
type row map[string]types.AttributeValue

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func number(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func milliseconds(t time.Time) types.AttributeValue { return number(uint64(max(0, t.UnixMilli()))) }

func hashText(h snapshot.Hash) types.AttributeValue { return text(h.String()) }

func (r row) text(name string) string {
	if v, ok := r[name].(*types.AttributeValueMemberS); ok {
		return v.Value
	}
	return ""
}

func (r row) number(name string) uint64 {
	if v, ok := r[name].(*types.AttributeValueMemberN); ok {
		n, _ := strconv.ParseUint(v.Value, 10, 64)
		return n
	}
	return 0
}

func (r row) time(name string) time.Time { return time.UnixMilli(int64(r.number(name))) }

// hash returns the zero hash if the attribute is missing or malformed.
func (r row) hash(name string) snapshot.Hash {
	h, _ := snapshot.ParseHash(r.text(name))
	return h
}

func (r row) set(name string) []string {
	if v, ok := r[name].(*types.AttributeValueMemberSS); ok {
		return v.Value
	}
	return nil
}

func key(partition, sort string) row {
	return row{partitionKey: text(partition), sortKey: text(sort)}
}

// clause is a DynamoDB expression with its names and values. Every attribute is written as #name,
// because many of the names are reserved words of DynamoDB.
type clause struct {
	text   *string
	names  map[string]string
	values row
}

var namePattern = regexp.MustCompile(`#\w+`)

func where(expression string, values row) clause {
	c := clause{text: aws.String(expression)}.withNames(expression)
	if len(values) > 0 { // DynamoDB rejects an empty map
		c.values = values
	}
	return c
}

// withNames returns c with the attribute names of another expression added.
func (c clause) withNames(expression string) clause {
	names := maps.Clone(c.names)
	if names == nil {
		names = map[string]string{}
	}
	for _, name := range namePattern.FindAllString(expression, -1) {
		if names[name] == "" {
			names[name] = name[1:]
		}
	}
	c.names = names
	return c
}

// rowAbsent is the condition that the row does not exist.
const rowAbsent = "attribute_not_exists(#pk)"

// rowType returns the partition key without the part that identifies a row. Operation names contain
// only the type because they are logged, and the partition key of an operator contains the hash of
// its bearer token.
func rowType(partition string) string {
	name, _, _ := strings.Cut(partition, "#")
	return name
}

// get reads one row with strong consistency; the row is nil if it does not exist.
func (c *Client) get(ctx context.Context, partition, sort string) (row, error) {
	var found row
	err := c.retry(ctx, "read "+rowType(partition), func(ctx context.Context) error {
		out, err := c.table.GetItem(ctx, &dynamodb.GetItemInput{
			TableName: &c.config.Table, Key: key(partition, sort), ConsistentRead: aws.Bool(true),
		})
		if err == nil {
			found = out.Item
		}
		return err
	})
	return found, err
}

// list reads the rows of a partition whose sort key has the prefix, in ascending or descending
// order. A limit of 0 means all rows, which must fit into one page.
func (c *Client) list(ctx context.Context, partition, prefix string, reverse bool, limit int32) ([]row, error) {
	condition := where("#pk = :pk", row{":pk": text(partition)})
	if prefix != "" {
		condition = where("#pk = :pk AND begins_with(#sk, :prefix)", row{":pk": text(partition), ":prefix": text(prefix)})
	}
	input := &dynamodb.QueryInput{
		TableName: &c.config.Table, ConsistentRead: aws.Bool(true), ScanIndexForward: aws.Bool(!reverse),
		KeyConditionExpression:    condition.text,
		ExpressionAttributeNames:  condition.names,
		ExpressionAttributeValues: condition.values,
	}
	if limit > 0 {
		input.Limit = aws.Int32(limit)
	}
	var rows []row
	err := c.retry(ctx, "list "+rowType(partition), func(ctx context.Context) error {
		out, err := c.table.Query(ctx, input)
		if err != nil {
			return err
		}
		if limit == 0 && len(out.LastEvaluatedKey) > 0 {
			return errors.Errorf("the partition exceeds one page of the table")
		}
		rows = rows[:0]
		for _, item := range out.Items {
			rows = append(rows, item)
		}
		return nil
	})
	return rows, err
}

// put replaces a row if the condition holds. It makes one attempt.
func (c *Client) put(ctx context.Context, item row, condition clause) error {
	_, err := c.table.PutItem(ctx, &dynamodb.PutItemInput{
		TableName: &c.config.Table, Item: item, ConditionExpression: condition.text,
		ExpressionAttributeNames: condition.names, ExpressionAttributeValues: condition.values,
	})
	return err
}

// update sets attributes of a row if the condition holds. It makes one attempt. The names and
// values of both expressions are taken from condition.
func (c *Client) update(ctx context.Context, where row, set string, condition clause) error {
	_, err := c.table.UpdateItem(ctx, &dynamodb.UpdateItemInput{
		TableName: &c.config.Table, Key: where, UpdateExpression: &set, ConditionExpression: condition.text,
		ExpressionAttributeNames: condition.names, ExpressionAttributeValues: condition.values,
	})
	return err
}

// transactPut returns a conditional put as part of a transaction.
func (c *Client) transactPut(item row, condition clause) types.TransactWriteItem {
	return types.TransactWriteItem{Put: &types.Put{
		TableName: &c.config.Table, Item: item, ConditionExpression: condition.text,
		ExpressionAttributeNames: condition.names, ExpressionAttributeValues: condition.values,
	}}
}

// transactCheck returns a condition check on a row as part of a transaction.
func (c *Client) transactCheck(where row, condition clause) types.TransactWriteItem {
	return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
		TableName: &c.config.Table, Key: where, ConditionExpression: condition.text,
		ExpressionAttributeNames: condition.names, ExpressionAttributeValues: condition.values,
	}}
}
